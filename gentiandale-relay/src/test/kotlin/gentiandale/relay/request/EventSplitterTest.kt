package gentiandale.relay.request

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals

class EventSplitterTest {
    private val text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"

    @Test
    fun `the events do not depend on where the bytes are split`() {
        for (cut in 0..text.length) {
            val splitter = EventSplitter()
            val events = listOf(text.take(cut), text.drop(cut)).flatMap { feed(splitter, it) }
            assertEquals(listOf<Long?>(1, 2, null), events.map { it.first }, "cut at $cut")
            assertEquals(text, events.joinToString("") { it.second })
            assertEquals(StreamTail.CLEAN, splitter.tail)
        }
    }

    @Test
    fun `an incomplete event is not returned`() {
        val splitter = EventSplitter()
        assertEquals(1, feed(splitter, "id: 7\ndata: x\n\nid: 8\nda").size)
        assertEquals(StreamTail.UNFINISHED_EVENT, splitter.tail)
    }

    private fun feed(splitter: EventSplitter, part: String) =
        splitter.feed(Unpooled.copiedBuffer(part, Charsets.UTF_8)).map { it.id to it.bytes.toString(Charsets.UTF_8) }
}
