package gentiandale.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A request that has been read as a whole.
 *
 * @param target path and query as the caller sent them.
 * @param startMs monotonic time in milliseconds at which its headers were in.
 */
public class CallerRequest(
    public val method: HttpMethod,
    public val target: String,
    public val headers: HttpHeaders,
    public val body: ByteBuf,
    public val startMs: Long,
)

/** The caller's end of one request. Each request gets one final answer. */
public interface CallerReply {
    /** Whether the caller can still receive something. */
    public val isOpen: Boolean

    /** Sends a whole answer. [body] is released. */
    public fun answer(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Begins an answer whose body follows in parts. */
    public fun begin(status: Int, headers: HttpHeaders)

    /** Sends a part of the body. [content] is released. */
    public fun part(content: ByteBuf)

    /** Ends the body that was begun. */
    public fun end()

    /** Cuts the connection, so that the answer can't be taken for a complete one. */
    public fun abort()
}

/** Serves requests of callers. */
public interface CallerService {
    /**
     * Begins to serve [request]. The result is called when the caller leaves before the final answer.
     */
    public fun serve(request: CallerRequest, reply: CallerReply): () -> Unit
}
