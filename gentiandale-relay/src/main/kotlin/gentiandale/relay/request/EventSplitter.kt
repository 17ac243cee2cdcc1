package gentiandale.relay.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * One server-sent event of a stream.
 *
 * @param id id of the event, or null if it has none.
 * @param isComment whether it consists of comment lines only, which servers send to keep a connection alive.
 * @param bytes the event including the empty line that ends it; the receiver releases them.
 */
internal class StreamEvent(val id: Long?, val isComment: Boolean, val bytes: ByteBuf)

/** Splits the bytes of a stream into whole events and buffers an incomplete event until the rest arrives. */
internal class EventSplitter {
    private var buffered: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Number of buffered bytes of an incomplete event. */
    val bufferedBytes: Int get() = buffered.readableBytes()

    /** What the buffered bytes are if the stream ends here. */
    val tail: StreamTail
        get() {
            val text = buffered.toString(Charsets.UTF_8)
            return when {
                !isComment(text) -> StreamTail.UNFINISHED_EVENT
                text.substringAfterLast('\n').isNotBlank() -> StreamTail.UNFINISHED_COMMENT
                else -> StreamTail.CLEAN
            }
        }

    /** Appends [content] and returns the events that are now complete. */
    fun feed(content: ByteBuf): List<StreamEvent> {
        val all = if (buffered.isReadable) Unpooled.copiedBuffer(buffered, content) else Unpooled.copiedBuffer(content)
        buffered.release()
        val events = ArrayList<StreamEvent>(2)
        var length = eventLength(all)
        while (length > 0) {
            val bytes = all.readRetainedSlice(length)
            val text = bytes.toString(Charsets.UTF_8)
            events += StreamEvent(idOf(text), isComment(text), bytes)
            length = eventLength(all)
        }
        buffered = all
        return events
    }

    /** Returns and clears the buffered bytes, for a stream that does not end with an empty line. */
    fun takeRemainder(): ByteBuf = buffered.also { buffered = Unpooled.EMPTY_BUFFER }

    /** Discards the buffered bytes. */
    fun clear() {
        buffered.release()
        buffered = Unpooled.EMPTY_BUFFER
    }

    /** Returns the length of the first event including the empty line after it, or 0 if none is complete. */
    private fun eventLength(bytes: ByteBuf): Int {
        val from = bytes.readerIndex()
        val to = bytes.writerIndex()
        var lineFeed = bytes.indexOf(from, to, LINE_FEED)
        while (lineFeed >= 0 && lineFeed + 1 < to) {
            var next = lineFeed + 1
            if (bytes.getByte(next) == CARRIAGE_RETURN && next + 1 < to) next++
            if (bytes.getByte(next) == LINE_FEED) return next + 1 - from
            lineFeed = bytes.indexOf(lineFeed + 1, to, LINE_FEED)
        }
        return 0
    }

    private fun isComment(event: String) = event.lineSequence().all { it.isBlank() || it.startsWith(COMMENT_PREFIX) }

    private fun idOf(event: String): Long? = event.lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.substring(ID_FIELD.length)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT_PREFIX = ':'
    }
}
