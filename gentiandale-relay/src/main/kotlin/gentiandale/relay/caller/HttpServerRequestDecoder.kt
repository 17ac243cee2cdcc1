package gentiandale.relay.caller

import gentiandale.relay.routing.HttpServerLimits
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Returns the status of the answer to a request that can't be decoded because of [cause]. */
internal fun statusOf(cause: Throwable): HttpResponseStatus = when (cause) {
    is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
    else -> HttpResponseStatus.BAD_REQUEST
}

/** Decodes requests and rejects those with an ambiguous body length. */
internal class HttpServerRequestDecoder(limits: HttpServerLimits) :
    HttpRequestDecoder(limits.maxHeaderBytes, limits.maxHeaderBytes, MAX_CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding")
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val isPlain = codings.isEmpty() ||
            (codings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings[0].trim()))
        require(isPlain) { "unsupported transfer coding: $codings" }
        require(codings.isEmpty() || message.protocolVersion() == HttpVersion.HTTP_1_1) { "chunks require HTTP/1.1" }
        return super.isContentAlwaysEmpty(message)
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 65_536
    }
}
