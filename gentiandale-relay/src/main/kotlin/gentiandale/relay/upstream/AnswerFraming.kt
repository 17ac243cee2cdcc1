package gentiandale.relay.upstream

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/**
 * How the end of an answer's body is marked, as in RFC 9112, section 6.3.
 *
 * @param label name in logs.
 */
public enum class AnswerFraming(public val label: String) {
    /** The answer has no body. */
    NO_BODY("no-body"),

    /** The head states the length of the body. */
    LENGTH("length"),

    /** The body is sent in chunks, of which the last is empty. */
    CHUNKED("chunked"),

    /** The body ends with the connection, so a body that was broken off by an orderly close looks like a whole one. */
    CONNECTION_END("connection-end"),
    ;

    internal companion object {
        /** Returns the framing of the answer with [head], which has no body if it [isBodyless]. */
        fun of(head: HttpResponse, isBodyless: Boolean): AnswerFraming = when {
            isBodyless -> NO_BODY
            HttpUtil.isTransferEncodingChunked(head) -> CHUNKED
            HttpUtil.isContentLengthSet(head) -> LENGTH
            else -> CONNECTION_END
        }
    }
}
