package gentiandale.relay.upstream

import gentiandale.relay.TestDialect
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.Nested
import java.lang.management.ManagementFactory
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Bodies with a length or in chunks that hold the head of an answer, or something like one. */
class AnswerDecoderTest {
    /** Answer to the request r1 as its caller should get it, or null if it is not whole. */
    private class Reader {
        private val decoder = AnswerDecoder(LINE_BYTES, HEADER_BYTES, CHUNK_BYTES, TestDialect)
        private val channel = EmbeddedChannel(decoder)
        private val read = StringBuilder()
        private var isOver = false
        var body: String? = null
            private set

        init {
            channel.freezeTime()
            decoder.expect("r0", isHead = false)
            decoder.expect("r1", isHead = false)
        }

        fun read(bytes: String): Reader = apply {
            if (!isOver && bytes.isNotEmpty()) channel.writeInbound(Unpooled.wrappedBuffer(bytes.toByteArray(CHARSET)))
            collect()
        }

        fun pause(): Reader = apply {
            repeat(PAUSES) {
                channel.advanceTimeBy(PAUSE_MS, TimeUnit.MILLISECONDS)
                channel.runScheduledPendingTasks()
            }
            collect()
        }

        fun close(): Reader = apply {
            channel.finish()
            collect()
        }

        private fun collect() {
            while (true) {
                val message = channel.readInbound<Any>() ?: return
                if (!isOver && message is HttpObject) add(message)
                ReferenceCountUtil.release(message)
            }
        }

        private fun add(message: HttpObject) {
            isOver = message is LastHttpContent || message.decoderResult().isFailure
            if (message.decoderResult().isFailure) return
            if (message is HttpContent) read.append(message.content().toString(CHARSET))
            if (message !is LastHttpContent) return
            decoder.onAnswerComplete()
            body = read.toString()
        }
    }

    private enum class Framing { LENGTH, CHUNKED }

    private fun headOf(framing: Framing, length: Int, id: String = "r1"): String {
        val field = if (framing == Framing.LENGTH) "content-length: $length" else "transfer-encoding: chunked"
        return "HTTP/1.1 200 OK\r\nid: $id\r\n$field\r\n\r\n"
    }

    private fun framed(framing: Framing, body: String): String = when (framing) {
        Framing.LENGTH -> body
        Framing.CHUNKED -> body.chunked(CHUNK).joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"
    }

    private fun answerOf(framing: Framing, body: String, id: String = "r1") =
        headOf(framing, body.length, id) + framed(framing, body)

    private val body = "0123456789".repeat(14)
    private val framings = Framing.entries

    /** Answers that end early, after which the server answers again. */
    @Nested
    inner class CutBodies {
        /** Calls [check] with the framing, the length of the cut body, the cut answer and the second one. */
        private fun eachCut(id: String, check: (Framing, Int, String, String) -> Unit) = framings.forEach { framing ->
            val whole = answerOf(framing, body)
            val head = headOf(framing, body.length)
            (head.length until whole.length).forEach {
                check(framing, it - head.length, whole.take(it), answerOf(framing, body, id))
            }
        }

        private fun assertNeverMixed(id: String) {
            val mixed = ArrayList<String>()
            eachCut(id) { framing, length, cut, copy ->
                if (Reader().read(cut + copy).pause().close().body != null) mixed += "$framing $length"
            }
            assertEquals(emptyList(), mixed)
        }

        @Test
        fun `the second answer does not complete a body wherever that was cut`() = assertNeverMixed("r1")

        @Test
        fun `a late answer to an earlier request does not complete a body wherever that was cut`() =
            assertNeverMixed("r0")

        @Test
        fun `a second answer that is divided does not complete a body`() {
            val mixed = ArrayList<String>()
            eachCut("r1") { framing, length, cut, copy ->
                // Fewer bytes of a head than these can't be told from the end of a body.
                val undecidable = if (framing == Framing.LENGTH) body.length - length else -1
                (0..copy.length).filter { it != undecidable || it >= MIN_HEAD }.forEach {
                    val answer = Reader().read(cut + copy.take(it)).read(copy.drop(it)).pause().close().body
                    if (answer != null) mixed += "$framing $length, divided at $it"
                }
            }
            assertEquals(emptyList(), mixed)
        }

        @Test
        fun `a second answer that is cut too completes a body only if it ends before its id where the body should`() {
            val mixed = ArrayList<String>()
            val undecidable = ArrayList<String>()
            eachCut("r1") { framing, length, cut, copy ->
                (0 until copy.length).forEach {
                    val case = "$framing $length, second answer $it"
                    val endsLikeBody = framing == Framing.LENGTH && length + it == body.length
                    if (endsLikeBody && it < copy.indexOf("r1\r\n") + ID_LINE_END) undecidable += case
                    if (Reader().read(cut + copy.take(it)).pause().close().body != null) mixed += case
                }
            }
            assertEquals(undecidable, mixed)
        }

        @Test
        fun `a second answer after an interim one does not complete a body`() {
            val mixed = ArrayList<String>()
            eachCut("r1") { framing, length, cut, copy ->
                val second = "HTTP/1.1 103 Early Hints\r\n\r\n$copy"
                if (Reader().read(cut + second).pause().close().body != null) mixed += "$framing $length"
            }
            assertEquals(emptyList(), mixed)
        }

        @Test
        fun `an answer to an earlier request inside a whole body is not passed on`() = framings.forEach {
            val whole = answerOf(it, body)
            val inside = answerOf(it, body.take(10), "r0")
            val at = whole.length - 50
            assertEquals(null, Reader().read(whole.take(at) + inside + whole.drop(at)).pause().close().body)
        }
    }

    @Nested
    inner class WholeBodies {
        private val nested = "HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 4\r\n\r\nbody"
        private val texts = listOf(
            "HTTP/1.1 200 OK\r\nid: other\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
            "HTTP/1.1 200 OK\nid: r1\n\n",
            "HTTP/1.1 200 OK is not id: r1\r\nat all",
            "HTTP/1.1 abc\r\nid: r1\r\n\r\n",
            "HHTTP/HTTP/1.1\r\nid: r1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nwith space: 1\r\nid: r1\r\n\r\n",
            "HTTP/1.1 200 OK\r\na: HTTP/1.1 200 OK\r\nb: 1\r\nno header line\r\nid: r1\r\n\r\n",
            "GET / HTTP/1.1\r\nid: r1\r\n\r\n",
            "H",
            "HTTP/1.1",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nid: ",
            "HTTP/1.1 103 Early Hints\r\n\r\n",
        )

        private fun assertPassed(framing: Framing, bodies: List<String>) = bodies.forEach { text ->
            val answer = answerOf(framing, text)
            val changed = (0..answer.length).filter {
                Reader().read(answer.take(it)).read(answer.drop(it)).pause().body != text
            }
            assertEquals(emptyList(), changed, "$framing: $text")
        }

        @Test
        fun `texts like an answer are passed on wherever they are and are divided`() = framings.forEach { framing ->
            assertPassed(framing, texts + texts.map { "a $it z" } + texts.map { "$it z" } + texts.map { "a $it" })
        }

        @Test
        fun `a body that quotes whole answers with its own id is passed on`() =
            assertPassed(Framing.LENGTH, listOf(nested, "--a\r\n$nested\r\n--a\r\n$nested\r\n--a--"))

        @Test
        fun `a whole body is followed by a second answer`() = framings.forEach { framing ->
            (listOf("", "first", "HTTP/1.1", "HTTP/1.1 200 OK\r\n") + nested).filterIndexed { i, _ ->
                i < 4 || framing == Framing.LENGTH
            }.forEach {
                val answer = answerOf(framing, it)
                assertEquals(it, Reader().read(answer + answer).pause().close().body, "$framing: $it")
            }
        }

        @Test
        fun `a body that ends with its connection like the start of an answer is whole`() = texts.forEach {
            assertEquals(it, Reader().read(answerOf(Framing.LENGTH, it)).close().body, it)
        }

        @Test
        fun `binary bodies of all lengths are passed on`() {
            val random = Random(1)
            framings.forEach { framing ->
                repeat(BINARY_BODIES) {
                    val bytes = random.nextBytes(random.nextInt(1, BINARY_BYTES)).toString(CHARSET)
                    val answer = answerOf(framing, bytes)
                    val at = random.nextInt(answer.length)
                    val read = Reader().read(answer.take(at)).read(answer.drop(at)).pause().body
                    assertEquals(bytes, read, "$framing $it")
                }
            }
        }
    }

    /** Bodies with many places that have to be looked at. */
    @Nested
    inner class Cost {
        private val threads = ManagementFactory.getThreadMXBean()

        private fun assertLinear(unit: String) {
            val whole = answerOf(Framing.LENGTH, unit.repeat(MANY_BYTES / unit.length))
            val reader = Reader()
            val startNs = threads.currentThreadCpuTime
            whole.chunked(SEGMENT_BYTES).forEach(reader::read)
            val elapsedMs = (threads.currentThreadCpuTime - startNs) / 1_000_000
            assertEquals(whole.substringAfter("\r\n\r\n").length, reader.pause().body?.length)
            assertTrue(elapsedMs < MAX_MS, "$elapsedMs ms")
        }

        @Test
        fun `first bytes of a status line`() = assertLinear("H")

        @Test
        fun `status lines`() = assertLinear("HTTP/1.1 200 OK\r\n")

        @Test
        fun `status lines in headers`() = assertLinear("a: HTTP/1.1 200 OK\r\n")

        @Test
        fun `interim heads`() = assertLinear("HTTP/1.1 100 \r\n\r\n")

        @Test
        fun `whole answers to unknown requests`() = assertLinear("HTTP/1.1 200 OK\r\nid: other\r\n\r\nbody")
    }

    private companion object {
        val CHARSET = Charsets.ISO_8859_1
        const val LINE_BYTES = 4_096
        const val HEADER_BYTES = 65_536
        const val CHUNK_BYTES = 65_536
        const val CHUNK = 100
        const val MIN_HEAD = "HTTP/".length
        const val ID_LINE_END = "r1\r\n".length
        const val PAUSES = 4
        const val PAUSE_MS = 100L
        const val BINARY_BODIES = 2_000
        const val BINARY_BYTES = 400
        const val MANY_BYTES = 1_000_000
        const val SEGMENT_BYTES = 16_384

        /** Many times what a search takes that looks at each byte a few times. */
        const val MAX_MS = 2_000L
    }
}
