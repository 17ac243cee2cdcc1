package gentiandale.daemon.http

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.daemon.Drain
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/**
 * Body of a call that starts a graceful shutdown.
 *
 * @param limitMs longest duration in milliseconds; 0 for no limit, null for the limit of the settings.
 */
@Serializable
internal data class DrainCall(
    @SerialName("limit_ms") val limitMs: Long? = null,
)

/** Starts a graceful shutdown at `POST /v1/drain` and answers 202 without waiting for its end. */
internal class DrainService(private val drain: Drain, private val scope: CoroutineScope) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        if (req.method() != HttpMethod.POST) return HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        return HttpResponse.of(scope.future { begin(req) })
    }

    private suspend fun begin(req: HttpRequest): HttpResponse {
        val text = when (val body = req.readBody()) {
            is BodyResult.Refused -> return body.refusal.toProblem().toResponse()
            is BodyResult.Complete -> body.request.contentUtf8().ifBlank { "{}" }
        }
        val call = try {
            HttpJson.decodeFromString(DrainCall.serializer(), text)
        } catch (e: SerializationException) {
            return badRequest("Invalid drain call: ${e.message?.lineSequence()?.first()}").toProblem().toResponse()
        }
        drain.begin(call.limitMs)
        return HttpResponse.of(HttpStatus.ACCEPTED, MediaType.JSON, "{}")
    }
}
