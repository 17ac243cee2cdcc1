package gentiandale.daemon.http

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.CallOutcome
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason

/** Renders errors raised by the HTTP server itself as problem documents. */
internal object ProblemErrorHandler : ServerErrorHandler {
    override fun onServiceException(ctx: ServiceRequestContext, cause: Throwable): Nothing? = null

    override fun renderStatus(
        ctx: ServiceRequestContext?,
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?,
    ): AggregatedHttpResponse {
        val detail = description ?: status.reasonPhrase()
        val refusal = when {
            status == HttpStatus.REQUEST_ENTITY_TOO_LARGE ->
                Refusal(RefusalReason.TOO_LARGE, CallOutcome.NOT_RUN, "The body exceeds the size limit.")
            status.isClientError -> badRequest(detail)
            else -> Refusal(RefusalReason.BACKEND_FAILED, CallOutcome.UNKNOWN, detail)
        }
        val problem = refusal.toProblem().copy(status = status.code())
        val body = HttpJson.encodeToString(Problem.serializer(), problem)
        return AggregatedHttpResponse.of(problem.headers(), HttpData.ofUtf8(body))
    }
}
