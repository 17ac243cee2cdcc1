package gentiandale.relay.caller

import gentiandale.relay.ConnectionUse
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A complete request that an [HttpServer] has received.
 *
 * @param target path and query as sent by the client.
 * @param startMs monotonic time in milliseconds at which the headers were complete.
 * @param source use of the connection by which it came.
 */
public class HttpServerRequest(
    public val method: HttpMethod,
    public val target: String,
    public val headers: HttpHeaders,
    public val body: ByteBuf,
    public val startMs: Long,
    public val source: ConnectionUse,
)

/** Sends the answer to one request. Each request gets one final answer. */
public interface HttpServerReply {
    /** Whether the answer can still be sent. */
    public val isOpen: Boolean

    /** Whether the client takes what is sent; otherwise further parts would fill the memory. */
    public val isWritable: Boolean

    /** Calls [action] once, when the client takes what has been sent. */
    public fun onWritable(action: () -> Unit)

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

/** Serves the requests that an [HttpServer] receives. */
public interface HttpServerHandler {
    /**
     * Starts serving [request]. The returned function is called with the reason if the connection ends before the final
     * answer.
     */
    public fun serve(request: HttpServerRequest, reply: HttpServerReply): (String) -> Unit
}
