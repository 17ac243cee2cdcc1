package gentiandale.daemon.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.daemon.request.CacheEvent
import kotlinx.serialization.SerializationException

/** Receives cache events of engines at `POST /v1/cache-events`. */
internal class CacheEventsService(private val accept: (CacheEvent) -> Unit) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(req.aggregate().thenApply(::answer))

    private fun answer(req: AggregatedHttpRequest): HttpResponse {
        val event = try {
            HttpJson.decodeFromString(CacheEvent.serializer(), req.contentUtf8())
        } catch (e: SerializationException) {
            return badRequest("Invalid cache event: ${e.message?.lineSequence()?.first()}").toProblem().toResponse()
        }
        accept(event)
        return HttpResponse.of(HttpStatus.NO_CONTENT)
    }
}
