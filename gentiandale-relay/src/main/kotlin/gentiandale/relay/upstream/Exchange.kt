package gentiandale.relay.upstream

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Why a request got no whole answer. */
public sealed interface SendFailure {
    /** Short text for logs. */
    public val reason: String

    /** No byte of the request has left. */
    public data class NotSent(override val reason: String) : SendFailure

    /** The request or a part of it has left; the server may have run it. */
    public data class Broken(override val reason: String) : SendFailure
}

/** Receives the answer to one request, on the event loop. After [onEnd] or [onFailure] nothing follows. */
public interface AnswerListener {
    /** Returns the request to write, made just before it leaves, or null if it must not leave any more. */
    public fun onConnected(): FullHttpRequest?

    /** Takes status and headers. */
    public fun onHead(head: HttpResponse)

    /** Takes a part of the body. It is released after the call. */
    public fun onContent(content: ByteBuf)

    /** Notes that the answer is complete. */
    public fun onEnd()

    /** Notes that no whole answer will come. */
    public fun onFailure(failure: SendFailure)
}

/** A request on its way to a server. */
public class Exchange internal constructor(internal val listener: AnswerListener, internal val requestId: String?) {
    internal var connection: UpstreamConnection? = null

    /** Whether nothing is reported any more. */
    internal var isOver: Boolean = false

    /** Whether the request has been handed to the connection. */
    public var isSent: Boolean = false
        internal set

    /** Gives up: closes the connection, so that the server stops, and reports nothing any more. */
    public fun cancel() {
        if (isOver) return
        isOver = true
        if (isSent) connection?.close()
    }
}
