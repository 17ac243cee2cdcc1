package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Servers that answer twice, without stating where the first answer ends before its connection does. */
class UnframedAnswerTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    private fun headOf(id: String?, status: String = "200 OK") = "HTTP/1.1 $status\r\nid: $id\r\nsigned: 1\r\n\r\n"

    private fun Socket.write(text: String) = getOutputStream().write(text.toByteArray())

    /** Writes [body] under a head without a length, then [rest], and closes the connection. */
    private fun answer(request: RawRequest, socket: Socket, body: String, rest: String, delayMs: Long = 0): Boolean {
        socket.write(headOf(request.header("id")) + body)
        if (delayMs > 0) Thread.sleep(delayMs)
        socket.write(rest)
        return false
    }

    private val events12 = FakeServer.event(1) + FakeServer.event(2)

    @Nested
    inner class PlainCalls {
        @Test
        fun `the second answer is not a part of the body`() = listOf("safe", "once").forEach { route ->
            listOf(0L, DELAY_MS).forEach { delayMs ->
                relay.server("a") { request, socket ->
                    answer(request, socket, "body", headOf(request.header("id")) + "body", delayMs)
                }
                val answer = relay.get("/$route/1")
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer)
                assertTrue(answer.endsWith("\r\n\r\nbody"), "$route after $delayMs ms: $answer")
                assertFalse(answer.endsWith("\r\n\r\nbody\r\n\r\nbody"), answer)
                assertEquals(1, Regex("HTTP/1.1 200").findAll(answer).count(), "$route after $delayMs ms: $answer")
            }
        }

        @Test
        fun `the second answer is not a part of the body behind an interim head`() {
            val interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
            relay.server("a") { request, socket -> answer(request, socket, "body", interim + headOf("r1") + "body") }
            val answer = relay.get("/once/1")
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\nbody"), answer)
            assertFalse("103" in answer, answer)
        }

        @Test
        fun `a copy that was broken off before the second answer is not a part of the body`() {
            val second = headOf("r1") + "body"
            val cut = AtomicInteger()
            val earlier = headOf("r0")
            relay.server("a") { request, socket ->
                answer(request, socket, "body", earlier.take(cut.get()))
                Thread.sleep(SEGMENT_MS)
                socket.write(second)
                false
            }
            val mixed = (PROTOCOL_LENGTH..earlier.indexOf("id:") + 2).filter {
                cut.set(it)
                !relay.get("/once/1").endsWith("\r\n\r\nbody")
            }
            assertEquals(emptyList(), mixed)
        }

        @Test
        fun `a body with many first bytes of a status line does not block the event loop`() {
            val body = "H".repeat(MANY_BYTES)
            relay.server("a") { request, socket -> answer(request, socket, body, "") }
            val startNs = System.nanoTime()
            val answer = relay.get("/once/1")
            assertEquals(
                MANY_BYTES,
                answer.count {
                    it == 'H'
                } - answer.substringBefore("\r\n\r\n").count { it == 'H' },
            )
            assertTrue(System.nanoTime() - startNs < TIMEOUT_NS)
        }

        @Test
        fun `the second answer is recognised wherever its head is divided`() {
            val second = headOf("r1") + "body"
            val cut = AtomicInteger()
            relay.server("a") { request, socket ->
                socket.write(headOf(request.header("id")) + "body" + second.take(cut.get()))
                Thread.sleep(SEGMENT_MS)
                socket.write(second.drop(cut.get()))
                false
            }
            val mixed = (0..second.length).filter {
                cut.set(it)
                val answer = relay.get("/once/1")
                Regex("HTTP/1.1 200").findAll(answer).count() != 1 || !answer.endsWith("\r\n\r\nbody")
            }
            assertEquals(emptyList(), mixed)
        }

        @Test
        fun `a second answer that is cut short is not a part of the body`() {
            val second = headOf("r1") + "body"
            val cut = AtomicInteger()
            relay.server("a") { request, socket -> answer(request, socket, "body", second.take(cut.get())) }
            val mixed = (PROTOCOL_LENGTH..second.length).filter {
                cut.set(it)
                val answer = relay.get("/once/1")
                answer.startsWith("HTTP/1.1 200") && !answer.endsWith("\r\n\r\nbody")
            }
            assertEquals(emptyList(), mixed)
        }

        @Test
        fun `the second answer to a failed call is not a part of the body`() {
            relay.server("a") { request, socket ->
                val head = headOf(request.header("id"), "500 Error")
                socket.write("${head}error${head}error")
                false
            }
            val answer = relay.get("/once/1")
            assertTrue(answer.startsWith("HTTP/1.1 500") && answer.endsWith("\r\n\r\nerror"), answer)
            assertEquals(1, Regex("HTTP/1.1 500").findAll(answer).count(), answer)
        }

        @Test
        fun `the second answer to a failed call is not a part of the body if neither has an id`() {
            val head = "HTTP/1.1 500 Error\r\nsigned: 1\r\n\r\n"
            val second = "${head}error"
            val cut = AtomicInteger()
            relay.server("a") { _, socket ->
                socket.write("${head}error" + second.take(cut.get()))
                Thread.sleep(SEGMENT_MS)
                socket.write(second.drop(cut.get()))
                false
            }
            val mixed = (0..second.length step 4).filter {
                cut.set(it)
                val answer = relay.get("/once/1")
                !answer.startsWith("HTTP/1.1 500") || !answer.endsWith("\r\n\r\nerror") || "error$head" in answer
            }
            assertEquals(emptyList(), mixed)
        }

        @Test
        fun `a failure without an id that quotes the start of an answer is passed on`() {
            val body = "a HTTP/1.1 500 Error without\r\na head z"
            relay.server("a") { _, socket ->
                socket.write("HTTP/1.1 500 Error\r\n\r\n$body")
                false
            }
            assertTrue(relay.get("/once/1").endsWith("\r\n\r\n$body"))
        }

        @Test
        fun `a large body that is forwarded as it arrives ends before the second answer`() {
            val body = "0123456789".repeat(40_000)
            relay.server("a") { request, socket ->
                answer(request, socket, body, headOf(request.header("id")) + body)
            }
            val answer = relay.get("/safe/1")
            assertEquals(1, Regex("HTTP/1.1 200").findAll(answer).count())
            assertTrue(answer.endsWith("0\r\n\r\n"))
        }
    }

    @Nested
    inner class Bodies {
        private val texts = listOf(
            "HTTP/1.1 200 OK\r\nid: other\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
            "HTTP/1.1 200 OK\n",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\nid: r1\n\n",
            "HTTP/1.1 200 OK is not id: r1\r\nat all",
            "HTTP/1.1 abc\r\nid: r1\r\n\r\n",
            "HHTTP/HTTP/1.1\r\nid: r1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nwith space: 1\r\nid: r1\r\n\r\n",
        )

        @Test
        fun `texts like an answer that is not one to this request are passed on`() {
            val text = AtomicInteger()
            relay.server("a") { request, socket -> answer(request, socket, "a ${texts[text.get()]} z", "") }
            val changed = texts.indices.filter {
                text.set(it)
                !relay.get("/once/1").endsWith("\r\n\r\na ${texts[it]} z")
            }
            assertEquals(emptyList(), changed)
        }

        @Test
        fun `an event that ends like the start of an answer is not delayed`() {
            relay.server("d", ServerKind.DECODE) { request, socket ->
                socket.write(headOf(request.header("id")) + "id: 1\ndata: HTTP/1.1 200 OK\n\n")
                Thread.sleep(SILENCE_MS)
                socket.write("id: 2\ndata: H\n\n")
                false
            }
            relay.connect().use { caller ->
                val startMs = System.nanoTime() / 1_000_000
                caller.getOutputStream().write("GET /stream-once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n".toByteArray())
                val read = StringBuilder()
                while ("OK\n\n" !in read) read.append(caller.getInputStream().read().toChar())
                val elapsedMs = System.nanoTime() / 1_000_000 - startMs
                assertTrue(elapsedMs < SILENCE_MS, "$elapsedMs ms")
            }
        }
    }

    @Nested
    inner class Streams {
        @Test
        fun `the second answer is not a part of the stream`() = listOf("/stream/1", "/stream-once/1").forEach {
            relay.server("d", ServerKind.DECODE) { request, socket ->
                answer(request, socket, events12, headOf(request.header("id")) + events12, DELAY_MS)
            }
            val answer = relay.get(it)
            assertEquals(1, Regex("HTTP/1.1 200").findAll(answer).count(), answer)
            assertEquals(listOf("1", "2"), events(answer))
            assertTrue(answer.endsWith("0\r\n\r\n"), answer)
        }

        @Test
        fun `the second answer of the server that resumes a stream is not a part of it`() {
            listOf("d1", "d2").forEach { id ->
                relay.server(id, ServerKind.DECODE) { request, socket ->
                    if (request.header("after") == null) return@server FakeServer.breakOff(socket, request)
                    val rest = FakeServer.event(3) + FakeServer.event(4)
                    answer(request, socket, rest, headOf(request.header("id")) + rest)
                }
            }
            val answer = relay.get("/stream/1")
            assertEquals(listOf("1", "2", "3", "4"), events(answer))
            assertEquals(1, Regex("HTTP/1.1 200").findAll(answer).count(), answer)
        }

        @Test
        fun `a stream whose second answer follows a part of an event is resumed`() {
            listOf("d1", "d2").forEach { id ->
                relay.server(id, ServerKind.DECODE) { request, socket ->
                    val after = request.header("after")?.toInt()
                    if (after != null) return@server FakeServer.stream(socket, request, after + 1..4)
                    answer(request, socket, events12 + "id: 3\nda", headOf(request.header("id")) + events12)
                }
            }
            val answer = relay.get("/stream/1")
            assertEquals(listOf("1", "2", "3", "4"), events(answer))
            assertEquals(1, Regex("HTTP/1.1 200").findAll(answer).count(), answer)
        }
    }

    @Nested
    inner class Prefills {
        @Test
        fun `the second answer is not a part of the handle`() {
            relay.prefillServer("p") { request, socket ->
                answer(request, socket, "h42", headOf(request.header("id")) + "h42")
            }
            val decode = relay.server("d", ServerKind.DECODE) { request, socket ->
                FakeServer.stream(socket, request, 1..2)
            }
            assertEquals(listOf("1", "2"), events(relay.get("/stream/1")))
            assertEquals("h42", decode.requests.first().header("cache")?.substringAfter('/'))
        }
    }

    /** Connections that have carried another request before. */
    @Nested
    inner class UsedConnections {
        private val keepAlive = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\ncontent-length: 5\r\n\r\nfirst"

        @Test
        fun `a late answer to an earlier request in the body breaks it off`() {
            relay.server("a") { request, socket ->
                if (request.header("id") == "r1") return@server FakeServer.reply(socket, request, "first")
                answer(request, socket, "sec", keepAlive + "ond")
            }
            relay.get("/once/1", id = "r1")
            assertTrue(relay.get("/once/2", id = "r2").startsWith("HTTP/1.1 502"))
        }

        @Test
        fun `a late answer without a length to an earlier request ends where the next answer starts`() {
            relay.server("a") { request, socket ->
                if (request.header("id") != "r1") socket.write(headOf("r1") + "first")
                FakeServer.reply(socket, request, "second")
            }
            relay.get("/once/1", id = "r1")
            assertTrue(relay.get("/once/2", id = "r2").endsWith("\r\n\r\nsecond"))
        }
    }

    private fun events(answer: String) = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()

    private companion object {
        /** Pause after which the second answer comes late. */
        const val DELAY_MS = 50L

        /** Pause between two segments. */
        const val SEGMENT_MS = 10L

        /** Longer than an event takes to its caller. */
        const val SILENCE_MS = 1_000L

        /** Length of the shortest part that is taken for the start of a second answer. */
        const val PROTOCOL_LENGTH = "HTTP/".length

        /** Bytes of a body in which many places look like the start of a status line. */
        const val MANY_BYTES = 1_000_000

        /** The timeout of the route, which the event loop would reach if it searched each place to its end. */
        const val TIMEOUT_NS = 5_000_000_000L
    }
}
