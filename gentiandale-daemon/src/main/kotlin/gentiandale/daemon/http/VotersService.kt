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

/** Replaces a voter at `POST /v1/voters` and shows the voters that this VM knows at `GET /v1/voters`. */
internal class VotersService(private val store: RaftStore?, private val scope: CoroutineScope) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse = when (req.method()) {
        HttpMethod.GET -> show(store?.status?.value?.membership ?: Membership())
        HttpMethod.POST -> HttpResponse.of(scope.future { take(req.aggregate().await()) })
        else -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
    }

    private fun show(membership: Membership): HttpResponse {
        val voters = membership.voters.map { VoterMessage(it.vm, it.voter.value) }
        return json(VotersMessage.serializer(), VotersMessage(voters))
    }

    private suspend fun take(req: AggregatedHttpRequest): HttpResponse {
        val wish = try {
            HttpJson.decodeFromString(VotersRequest.serializer(), req.contentUtf8())
        } catch (e: SerializationException) {
            return badRequest("Not a change of voters: ${e.message?.lineSequence()?.first()}").toProblem().toResponse()
        }
        if (wish.add == null && wish.remove == null) {
            return badRequest("Name a VM to add, to remove, or both.").toProblem().toResponse()
        }
        val outcome = store?.replaceVoter(VoterReplacement(wish.add, wish.remove), TIMEOUT_MS)
        return when (outcome) {
            is VoterOutcome.Done -> show(outcome.membership)
            is VoterOutcome.NotAccepted -> noMajority(CallOutcome.NOT_RUN, outcome.reason)
            is VoterOutcome.NotKnown -> noMajority(CallOutcome.UNKNOWN, outcome.reason)
            null -> noMajority(CallOutcome.NOT_RUN, "This VM has no store that others agree on.")
        }
    }

    private companion object {
        const val TIMEOUT_MS = 30_000L
    }
}
