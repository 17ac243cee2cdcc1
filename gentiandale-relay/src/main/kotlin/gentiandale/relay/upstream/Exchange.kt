package gentiandale.relay.upstream

import gentiandale.relay.ConnectionUse
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Reason why a request got no complete answer. */
public sealed interface SendFailure {
    /** Short description for logs. */
    public val reason: String

    /** No byte of the request has been sent. */
    public data class NotSent(override val reason: String) : SendFailure

    /** At least a part of the request has been sent; the server may have executed it. */
    public data class Broken(override val reason: String) : SendFailure
}

/**
 * Receives the answer to one request on the event loop. The first call comes after the exchange has been returned to
 * the sender; [onEnd] or [onFailure] is the last one.
 */
public interface AnswerListener {
    /** Called once a connection is ready; returns the request to write, or null if it must no longer be sent. */
    public fun onConnected(): FullHttpRequest?

    /** Called with status and headers. */
    public fun onHead(head: HttpResponse)

    /** Called with a part of the body, which is released after the call. */
    public fun onContent(content: ByteBuf)

    /** Called when the answer is complete as far as its [framing] shows. */
    public fun onEnd(framing: AnswerFraming)

    /** Called when no complete answer will arrive. */
    public fun onFailure(failure: SendFailure)
}

/** One request to a server and its answer. */
public class Exchange internal constructor(
    internal val listener: AnswerListener,
    internal val requestId: String?,
) {
    internal var connection: UpstreamConnection? = null

    /** Use of the connection by which the request was sent, or null before that. */
    public var use: ConnectionUse? = null
        internal set

    /** Whether the listener gets no further calls. */
    internal var isOver: Boolean = false

    /** Whether the request has been handed to the connection. */
    public var isSent: Boolean = false
        internal set

    /** Stops or resumes reading the answer. */
    public fun setReading(enabled: Boolean) {
        if (!isOver) connection?.setReading(enabled)
    }

    /** Cancels the exchange: closes its connection, so that the server stops, and silences the listener. */
    public fun cancel() {
        if (isOver) return
        isOver = true
        if (isSent) connection?.close()
    }
}
