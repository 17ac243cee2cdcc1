package gentiandale.relay.life

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * One event of a stream.
 *
 * @param id its id, or null if it has none.
 * @param bytes the event with the empty line that ends it. The receiver releases them.
 */
internal class StreamEvent(val id: Long?, val bytes: ByteBuf)

/** Cuts the bytes of a stream into whole events. A part of an event is kept until the rest is there. */
internal class EventSplitter {
    private var remainder: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Whether bytes of an unfinished event are kept. */
    val hasPartialEvent: Boolean get() = remainder.isReadable

    /** Takes [content] and returns the events that are complete now. */
    fun feed(content: ByteBuf): List<StreamEvent> {
        val all = if (remainder.isReadable) Unpooled.copiedBuffer(remainder, content) else Unpooled.copiedBuffer(content)
        remainder.release()
        val events = ArrayList<StreamEvent>(2)
        var length = eventLength(all)
        while (length > 0) {
            val bytes = all.readRetainedSlice(length)
            events += StreamEvent(idOf(bytes), bytes)
            length = eventLength(all)
        }
        remainder = all
        return events
    }

    /** Returns the kept bytes, for the end of a stream that does not end with an empty line. */
    fun takeRemainder(): ByteBuf = remainder.also { remainder = Unpooled.EMPTY_BUFFER }

    /** Drops the kept bytes. */
    fun clear() {
        remainder.release()
        remainder = Unpooled.EMPTY_BUFFER
    }

    /** Returns the length of the first event with the empty line after it, or 0. */
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

    private fun idOf(bytes: ByteBuf): Long? = bytes.toString(Charsets.UTF_8).lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.substring(ID_FIELD.length)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
