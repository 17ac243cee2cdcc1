package gentiandale.daemon.http

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.RequestId
import gentiandale.core.VmId
import gentiandale.daemon.forward.Forwarding
import gentiandale.daemon.request.JournalEntry
import gentiandale.daemon.request.RequestJournal
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import kotlinx.serialization.Serializable

/** Journal of [request], in order of time. */
@Serializable
internal data class JournalBody(val request: RequestId, val events: List<JournalEntry>)

/** Returns the journal of a request, merged from this VM and its owners, at `GET /v1/requests/{request}`. */
internal class JournalService(
    private val self: VmId,
    private val journal: RequestJournal,
    private val forwarding: Forwarding,
    private val scope: CoroutineScope,
) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val request = RequestId(ctx.pathParam("request").orEmpty())
        return HttpResponse.of(scope.future { show(request) })
    }

    private suspend fun show(request: RequestId): HttpResponse {
        val otherOwners = journal.ownersOf(request).filter { it != self }
        val events = (journal.entriesOf(request) + otherOwners.flatMap { forwarding.journalAt(it, request) })
        if (events.isEmpty()) return HttpResponse.of(HttpStatus.NOT_FOUND)
        val body = JournalBody(request, events.sortedBy { it.atMs })
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpJson.encodeToString(JournalBody.serializer(), body))
    }
}
