package gentiandale.daemon.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.cluster.directory.AnnounceReply
import gentiandale.core.Announcement
import gentiandale.core.CallOutcome
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** Reply to an announcement: `host:port` of the VM that the backend server sends its further reports to. */
@Serializable
internal data class OwnerReply(val owner: String)

/** Receives announcements of backend servers at `POST /v1/servers`. */
internal class AnnounceService(private val announce: (Announcement) -> AnnounceReply) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(req.aggregate().thenApply(::answer))

    private fun answer(req: AggregatedHttpRequest): HttpResponse {
        val announcement = try {
            HttpJson.decodeFromString(Announcement.serializer(), req.contentUtf8())
        } catch (e: SerializationException) {
            return badRequest("Invalid announcement: ${e.message?.lineSequence()?.first()}").toProblem().toResponse()
        }
        return when (val reply = announce(announcement)) {
            is AnnounceReply.Accepted -> accepted(reply)
            is AnnounceReply.Refused -> conflict(reply)
        }
    }

    private fun accepted(reply: AnnounceReply.Accepted): HttpResponse {
        val body = HttpJson.encodeToString(OwnerReply.serializer(), OwnerReply(reply.owner.toString()))
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body)
    }

    private fun conflict(reply: AnnounceReply.Refused): HttpResponse {
        val detail = "The announcement contradicts the known facts of this server."
        val refusal = Refusal(RefusalReason.BAD_REQUEST, CallOutcome.NOT_RUN, detail)
        val problem = refusal.toProblem(findings = reply.findings).copy(status = HttpStatus.CONFLICT.code())
        return problem.toResponse()
    }
}
