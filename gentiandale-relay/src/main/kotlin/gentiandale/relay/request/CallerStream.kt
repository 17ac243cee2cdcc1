package gentiandale.relay.request

import gentiandale.relay.caller.HttpServerReply
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** Event stream to a caller, produced by one server or by several in turn. Each event is forwarded only once. */
internal class CallerStream(
    private val reply: HttpServerReply,
    private val progress: AnswerProgress,
    private val nowMs: () -> Long,
) {
    private var lastEventId: Long? = progress.lastEvent?.toLongOrNull()

    /** Whether the head and a part have been sent. The head is that of the first server. */
    var hasBegun = false
        private set

    /** Returns whether the caller already has [event]; a server that resumes a stream may repeat events. */
    fun hasSent(event: StreamEvent): Boolean {
        val id = event.id ?: return false
        return lastEventId?.let { id <= it } ?: false
    }

    /** Forwards [event] of the answer with [head]. */
    fun forward(event: StreamEvent, head: HttpResponse) {
        begin(head)
        event.id?.let { lastEventId = it }
        progress.onPart(nowMs(), event.bytes.readableBytes(), event.id)
        reply.part(event.bytes)
    }

    /** Ends the answer with [head]; [remainder] holds the empty lines and comments after the last event. */
    fun end(remainder: ByteBuf, head: HttpResponse) {
        if (!hasBegun || remainder.isReadable) progress.onPart(nowMs(), remainder.readableBytes())
        begin(head)
        if (remainder.isReadable) reply.part(remainder) else remainder.release()
        reply.end()
    }

    private fun begin(head: HttpResponse) {
        if (hasBegun) return
        hasBegun = true
        reply.begin(head.status().code(), head.headers().endToEnd())
    }
}
