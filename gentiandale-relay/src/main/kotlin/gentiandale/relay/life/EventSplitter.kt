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
    private var rest: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Whether bytes of an unfinished event are kept. */
    val hasRest: Boolean get() = rest.isReadable

    /** Takes [content] and returns the events that are complete now. */
    fun feed(content: ByteBuf): List<StreamEvent> {
        val all = if (rest.isReadable) Unpooled.copiedBuffer(rest, content) else Unpooled.copiedBuffer(content)
        rest.release()
        val events = ArrayList<StreamEvent>(2)
        var end = endOfEvent(all)
        while (end > 0) {
            val bytes = all.readRetainedSlice(end)
            events += StreamEvent(idOf(bytes), bytes)
            end = endOfEvent(all)
        }
        rest = all
        return events
    }

    /** Returns the kept bytes, for the end of a stream that does not end with an empty line. */
    fun takeRest(): ByteBuf = rest.also { rest = Unpooled.EMPTY_BUFFER }

    /** Drops the kept bytes. */
    fun clear() {
        rest.release()
        rest = Unpooled.EMPTY_BUFFER
    }

    /** Returns the length of the first event with the empty line after it, or 0. */
    private fun endOfEvent(bytes: ByteBuf): Int {
        val from = bytes.readerIndex()
        val to = bytes.writerIndex()
        var at = bytes.indexOf(from, to, LINE_FEED)
        while (at >= 0 && at + 1 < to) {
            var next = at + 1
            if (bytes.getByte(next) == CARRIAGE_RETURN && next + 1 < to) next++
            if (bytes.getByte(next) == LINE_FEED) return next + 1 - from
            at = bytes.indexOf(at + 1, to, LINE_FEED)
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
