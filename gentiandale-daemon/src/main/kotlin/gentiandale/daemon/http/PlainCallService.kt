package gentiandale.daemon.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.Clock
import gentiandale.core.IdempotencyKey
import gentiandale.daemon.claim.PlainAnswer
import gentiandale.daemon.claim.PlainCall
import gentiandale.daemon.claim.PlainCallRunner
import gentiandale.daemon.claim.Repeat
import gentiandale.daemon.settings.LimitSettings
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.UUID

/** Proxies calls of `/services/{service}/...` to a plain service. */
internal class PlainCallService(
    private val calls: PlainCallRunner,
    private val limits: LimitSettings,
    private val gate: CallGate,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val service = ctx.pathParam("service").orEmpty()
        val writer = HttpResponse.streaming()
        val job = scope.launch {
            gate.admit({ writer.respond(it.toProblem()) }) {
                respond(writer, service, req)
                ctx.awaitDelivery()
            }
        }
        job.invokeOnCompletion { cause -> if (cause != null) writer.close(cause) }
        return writer
    }

    private suspend fun respond(writer: HttpResponseWriter, service: String, req: HttpRequest) {
        when (val body = req.readBody()) {
            is BodyResult.Refused -> writer.respond(body.refusal.toProblem())
            is BodyResult.Complete -> {
                val repeat = repeatOf(body.request)
                val call = callOf(service, body.request)
                when (val answer = calls.run(call, repeat)) {
                    is PlainAnswer.Refused -> refuse(writer, answer, repeat)
                    is PlainAnswer.Answered -> sendResponse(writer, answer.response, repeat)
                }
            }
        }
    }

    private fun refuse(writer: HttpResponseWriter, answer: PlainAnswer.Refused, repeat: Repeat) {
        val problem = answer.refusal.toProblem()
        writer.respond(problem, problem.headers().withKey(repeat))
    }

    private fun sendResponse(writer: HttpResponseWriter, response: AggregatedHttpResponse, repeat: Repeat) {
        val headers = ResponseHeaders.builder(response.status())
        response.headers().forEach { name, value ->
            val text = name.toString()
            if (!text.startsWith(":") && text !in HOP_BY_HOP_HEADERS) headers.add(name, value)
        }
        writer.respond(headers.build().withKey(repeat), response.content())
    }

    private fun ResponseHeaders.withKey(repeat: Repeat): ResponseHeaders = when (repeat) {
        is Repeat.AtMostOnce -> toBuilder().set(CallHeaders.IDEMPOTENCY_KEY, repeat.key.value).build()
        Repeat.Idempotent, Repeat.Once -> this
    }

    private fun callOf(service: String, req: AggregatedHttpRequest): PlainCall {
        val timeoutMs = req.headers().getLong(CallHeaders.DEADLINE_MS) ?: limits.defaultDeadlineMs
        return PlainCall(
            service = service,
            method = req.method(),
            path = req.path().removePrefix("/services/$service").ifEmpty { "/" },
            headers = req.headers(),
            body = req.content(),
            caller = req.headers().get(CallHeaders.CALLER).orEmpty(),
            deadlineMs = clock.monotonicMs() + timeoutMs,
        )
    }

    private fun repeatOf(req: AggregatedHttpRequest): Repeat {
        val key = req.headers().get(CallHeaders.IDEMPOTENCY_KEY)
        val repeatable = req.headers().get(CallHeaders.REPEATABLE)
        return when {
            key != null || repeatable == "false" -> Repeat.AtMostOnce(IdempotencyKey(key ?: "key-${UUID.randomUUID()}"))
            repeatable == "true" || req.method() in IDEMPOTENT_METHODS -> Repeat.Idempotent
            else -> Repeat.Once
        }
    }

    private companion object {
        val IDEMPOTENT_METHODS =
            setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.PUT, HttpMethod.DELETE, HttpMethod.OPTIONS)
        val HOP_BY_HOP_HEADERS = setOf("connection", "content-length", "keep-alive", "transfer-encoding", "upgrade")
    }
}
