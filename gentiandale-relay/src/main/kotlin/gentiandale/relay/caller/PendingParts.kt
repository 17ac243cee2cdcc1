package gentiandale.relay.caller

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/** Message parts of pipelined requests that wait behind the current one. Reading stops while there are many. */
internal class PendingParts(private val channel: Channel) {
    private val parts = ArrayDeque<HttpObject>()

    val isEmpty: Boolean get() = parts.isEmpty()

    fun add(part: HttpObject) {
        parts.addLast(part)
        updateReading()
    }

    /** Removes the first part and returns it, or null if there is none. */
    fun next(): HttpObject? = parts.removeFirstOrNull().also { updateReading() }

    /** Discards all parts, and returns the number of complete requests among them. */
    fun release(): Int {
        val complete = parts.count { it.endsRequest }
        parts.forEach(ReferenceCountUtil::release)
        parts.clear()
        updateReading()
        return complete
    }

    private fun updateReading() {
        channel.config().isAutoRead = parts.size < MAX_PARTS
    }

    private companion object {
        /** One read from the socket may add more, of its size at most. */
        const val MAX_PARTS = 64
    }
}
