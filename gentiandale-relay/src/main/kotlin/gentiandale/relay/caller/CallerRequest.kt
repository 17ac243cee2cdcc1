package gentiandale.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A complete request of a caller.
 *
 * @param target path and query as sent by the caller.
 * @param startMs monotonic time in milliseconds at which the headers were complete.
 */
public class CallerRequest(
    public val method: HttpMethod,
    public val target: String,
    public val headers: HttpHeaders,
    public val body: ByteBuf,
    public val startMs: Long,
)

/** Sends the answer to one request. Each request gets one final answer. */
public interface CallerReply {
    /** Whether the answer can still be sent. */
    public val isOpen: Boolean

    /** Sends a complete answer and releases [body]. */
    public fun answer(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Starts an answer whose body follows in parts. */
    public fun begin(status: Int, headers: HttpHeaders)

    /** Sends [content] as a part of the body and releases it. */
    public fun part(content: ByteBuf)

    /** Ends the body of a started answer. */
    public fun end()

    /** Closes the connection, so that the answer can't be mistaken for a complete one. */
    public fun abort()
}

/** Serves requests of callers. */
public interface CallerService {
    /**
     * Starts serving [request]. The returned function is called if the caller disconnects before the final answer.
     */
    public fun serve(request: CallerRequest, reply: CallerReply): () -> Unit
}
