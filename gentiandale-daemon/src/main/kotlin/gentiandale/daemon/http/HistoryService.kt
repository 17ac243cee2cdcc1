package gentiandale.daemon.http

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.CallOutcome
import gentiandale.state.RaftStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future

/** Returns the last accepted changes, the newest first, at `GET /v1/history`. */
internal class HistoryService(private val store: RaftStore?, private val scope: CoroutineScope) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val text = ctx.queryParam("limit")
        val limit = if (text == null) DEFAULT_LIMIT else text.toIntOrNull()
        if (limit == null || limit !in 1..MAX_LIMIT) {
            return badRequest("The limit '$text' is not a number from 1 to $MAX_LIMIT.").toProblem().toResponse()
        }
        return HttpResponse.of(scope.future { answer(limit) })
    }

    private suspend fun answer(limit: Int): HttpResponse {
        val changes = store?.history(limit, TIMEOUT_MS)
            ?: return noMajority(CallOutcome.NOT_RUN, "No leader among the voters answered.")
        return json(HistoryMessage.serializer(), HistoryMessage(changes.map { it.toMessage() }))
    }

    private companion object {
        const val DEFAULT_LIMIT = 100
        const val MAX_LIMIT = 1_000
        const val TIMEOUT_MS = 3_000L
    }
}
