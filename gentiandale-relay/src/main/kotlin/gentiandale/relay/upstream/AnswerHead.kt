package gentiandale.relay.upstream

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/** Checks heads of answers for what would leave open where an answer starts or ends. */
internal object AnswerHead {
    private val STATUSES = 100..599
    private val STATUS_LINE = Regex("HTTP/1\\.\\d \\d{3}")

    /** Returns why [head] is malformed, or null if it is not. */
    fun malformationOf(head: HttpResponse): String? {
        val version = head.protocolVersion()
        val status = head.status()
        return when {
            version.protocolName() != "HTTP" || version.majorVersion() != 1 -> "protocol ${version.text()}"
            status.code() !in STATUSES -> "status ${status.code()}"
            status.code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code() -> "unrequested switch of protocols"
            !isFramingClear(head) -> "contradictory or unknown framing"
            // A head that was broken off is followed by the status line of the next one.
            STATUS_LINE.containsMatchIn(status.reasonPhrase()) -> "status line in a reason phrase"
            head.headers().any { (_, value) -> "HTTP/" in value && STATUS_LINE.containsMatchIn(value) } ->
                "status line in a header"
            else -> null
        }
    }

    private fun isFramingClear(head: HttpResponse): Boolean {
        val codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        if (codings.isEmpty()) return true
        val isChunked = codings.singleOrNull()?.trim()?.equals(HttpHeaderValues.CHUNKED.toString(), true) ?: false
        return isChunked && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
    }
}
