package gentiandale.daemon.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import gentiandale.core.CallOutcome
import gentiandale.core.Finding
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON format of the HTTP interfaces. */
internal val HttpJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** Problem document of RFC 9457 with extension members of gentiandale. */
@Serializable
internal data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: CallOutcome,
    val reason: String,
    @SerialName("retry_after_ms") val retryAfterMs: Long? = null,
    val request: String? = null,
    val findings: List<Finding> = emptyList(),
)

private const val MS_PER_SECOND = 1_000L
private val PROBLEM_JSON = MediaType.create("application", "problem+json")

/** Returns the HTTP status for this reason. */
internal val RefusalReason.status: Int
    get() = when (this) {
        RefusalReason.BAD_REQUEST -> 400
        RefusalReason.UNKNOWN_MODEL, RefusalReason.UNKNOWN_SERVICE -> 404
        RefusalReason.UNKNOWN_RANK -> 400
        RefusalReason.IN_PROGRESS -> 409
        RefusalReason.TOO_LARGE -> 413
        RefusalReason.KEY_REUSED -> 422
        RefusalReason.OVERLOAD -> 429
        RefusalReason.BACKEND_FAILED -> 502
        RefusalReason.NO_SERVER, RefusalReason.NO_MAJORITY, RefusalReason.DRAINING -> 503
        RefusalReason.DEADLINE -> 504
    }

/** Returns the problem document of this refusal. */
internal fun Refusal.toProblem(request: String? = null, findings: List<Finding> = emptyList()): Problem = Problem(
    type = "urn:gentiandale:refusal:${reason.code}",
    title = reason.code,
    status = reason.status,
    detail = detail,
    outcome = outcome,
    reason = reason.code,
    retryAfterMs = retryAfterMs,
    request = request,
    findings = findings,
)

/** Returns the response headers of this problem. */
internal fun Problem.headers(): ResponseHeaders {
    val headers = ResponseHeaders.builder(status).contentType(PROBLEM_JSON)
    retryAfterMs?.let {
        val seconds = (it + MS_PER_SECOND - 1) / MS_PER_SECOND
        headers.add(HttpHeaderNames.RETRY_AFTER, seconds.toString())
    }
    return headers.build()
}

/** Returns this problem as a complete HTTP response. */
internal fun Problem.toResponse(): HttpResponse =
    HttpResponse.of(headers(), HttpData.ofUtf8(HttpJson.encodeToString(Problem.serializer(), this)))

/** Returns a refusal of invalid input, before anything has run. */
internal fun badRequest(detail: String): Refusal = Refusal(RefusalReason.BAD_REQUEST, CallOutcome.NOT_RUN, detail)
