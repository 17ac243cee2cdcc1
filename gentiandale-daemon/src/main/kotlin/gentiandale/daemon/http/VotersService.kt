package gentiandale.daemon.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.CallOutcome
import gentiandale.state.RaftStore
import gentiandale.state.raft.Membership
import gentiandale.state.raft.VoterOutcome
import gentiandale.state.raft.VoterReplacement
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.serialization.SerializationException

/** Changes the voters at `POST /v1/voters` and returns the voters known to this VM at `GET /v1/voters`. */
internal class VotersService(private val store: RaftStore?, private val scope: CoroutineScope) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse = when (req.method()) {
        HttpMethod.GET -> show(store?.status?.value?.membership ?: Membership())
        HttpMethod.POST -> HttpResponse.of(scope.future { receive(req.aggregate().await()) })
        else -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
    }

    private fun show(membership: Membership): HttpResponse {
        val voters = membership.voters.map { VoterMessage(it.vm, it.voter.value) }
        return json(VotersMessage.serializer(), VotersMessage(voters))
    }

    private suspend fun receive(req: AggregatedHttpRequest): HttpResponse {
        val change = try {
            HttpJson.decodeFromString(VotersRequest.serializer(), req.contentUtf8())
        } catch (e: SerializationException) {
            return badRequest("Invalid voter change: ${e.message?.lineSequence()?.first()}").toProblem().toResponse()
        }
        if (change.add == null && change.remove == null) {
            return badRequest("A VM to add, a VM to remove, or both are required.").toProblem().toResponse()
        }
        val outcome = store?.replaceVoter(VoterReplacement(change.add, change.remove), TIMEOUT_MS)
        return when (outcome) {
            is VoterOutcome.Done -> show(outcome.membership)
            is VoterOutcome.NotAccepted -> noMajority(CallOutcome.NOT_RUN, outcome.reason)
            is VoterOutcome.NotKnown -> noMajority(CallOutcome.UNKNOWN, outcome.reason)
            null -> noMajority(CallOutcome.NOT_RUN, "This VM does not use a replicated store.")
        }
    }

    private companion object {
        const val TIMEOUT_MS = 30_000L
    }
}
