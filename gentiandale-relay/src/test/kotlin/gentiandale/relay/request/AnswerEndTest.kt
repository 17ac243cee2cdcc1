package gentiandale.relay.request

import gentiandale.relay.upstream.AnswerFraming
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class AnswerEndTest {
    private fun judge(framing: AnswerFraming, text: String): AnswerEnd {
        val splitter = EventSplitter()
        val events = splitter.feed(Unpooled.copiedBuffer(text, Charsets.UTF_8)).onEach { it.bytes.release() }
        return AnswerEnd.ofStream(framing, events.count { !it.isComment }, splitter.tail).also { splitter.clear() }
    }

    private val first = "id: 1\ndata: a\n\n"
    private val stream = "${first}id: 2\r\ndata: b\r\n\r\n"

    @Nested
    inner class AnyCut {
        @Test
        fun `a stream cut inside an event is never whole`() {
            (1 until stream.length).filter { it != first.length }.forEach { length ->
                AnswerFraming.entries.forEach {
                    assertIs<AnswerEnd.BrokenOff>(judge(it, stream.take(length)), "$it, $length bytes")
                }
            }
        }

        @Test
        fun `a stream cut inside a comment is broken off only if nothing but its connection ends it`() {
            val text = "id: 1\ndata: a\n\n: ali"
            assertIs<AnswerEnd.BrokenOff>(judge(AnswerFraming.CONNECTION_END, text))
            assertEquals(AnswerEnd.Whole, judge(AnswerFraming.CHUNKED, text))
        }
    }

    @Nested
    inner class WholeStreams {
        @Test
        fun `a stream that ends after an event is whole, without proof if its connection ends it`() {
            listOf(stream, "$stream\r\n", "$stream\n\n", "$stream: the end\n").forEach { text ->
                AnswerFraming.entries.forEach {
                    val expected = if (it == AnswerFraming.CONNECTION_END) AnswerEnd.Unproven else AnswerEnd.Whole
                    assertEquals(expected, judge(it, text), "$it, $text")
                }
            }
        }

        @Test
        fun `a stream without events is whole only if its framing says so`() {
            assertIs<AnswerEnd.BrokenOff>(judge(AnswerFraming.CONNECTION_END, ""))
            assertIs<AnswerEnd.BrokenOff>(judge(AnswerFraming.CONNECTION_END, ": alive\n\n"))
            assertEquals(AnswerEnd.Whole, judge(AnswerFraming.CHUNKED, ""))
        }
    }
}
