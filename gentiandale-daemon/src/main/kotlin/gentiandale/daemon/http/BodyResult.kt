package gentiandale.daemon.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.ClosedSessionException
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.stream.ClosedStreamException
import gentiandale.core.CallOutcome
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull

/** Result of reading the body of a call. */
internal sealed interface BodyResult {
    /** The body of [request] has been received completely. */
    data class Complete(val request: AggregatedHttpRequest) : BodyResult

    /** The body is too large, incomplete or too slow. */
    data class Refused(val refusal: Refusal) : BodyResult
}

/** Time limit for receiving a body, in milliseconds. */
private const val BODY_TIMEOUT_MS = 10_000L

/** Reads the body of this request within [timeoutMs] milliseconds. */
internal suspend fun HttpRequest.readBody(timeoutMs: Long = BODY_TIMEOUT_MS): BodyResult = try {
    val request = withTimeoutOrNull(timeoutMs) { aggregate().await() }
    if (request == null) {
        abort()
        BodyResult.Refused(badRequest("The body did not arrive within $timeoutMs ms."))
    } else {
        BodyResult.Complete(request)
    }
} catch (e: ContentTooLargeException) {
    val detail = "The body is larger than ${e.maxContentLength()} bytes."
    BodyResult.Refused(Refusal(RefusalReason.TOO_LARGE, CallOutcome.NOT_RUN, detail))
} catch (e: ClosedSessionException) {
    BodyResult.Refused(badRequest("The connection closed before the body was complete."))
} catch (e: ClosedStreamException) {
    BodyResult.Refused(badRequest("The stream closed before the body was complete."))
}
