package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers that send bytes without end until the connection is closed. */
class EndlessAnswerTest {
    private val relay = RelayFixture()
    private val closed = CountDownLatch(1)
    private val written = AtomicLong()

    @AfterEach
    fun close() = relay.close()

    /** Writes [first] and then [again] until the relay closes the connection. */
    private fun endless(socket: Socket, first: String, again: String, pauseMs: Long = 0): Boolean {
        val output = socket.getOutputStream()
        try {
            output.write(first.toByteArray())
            val bytes = again.toByteArray()
            while (written.get() < GIVE_UP_BYTES) {
                output.write(bytes)
                written.addAndGet(bytes.size.toLong())
                if (pauseMs > 0) Thread.sleep(pauseMs)
            }
        } catch (_: IOException) {
            closed.countDown()
        }
        return false
    }

    private fun head(request: RawRequest, extra: String = "", status: String = "200 OK") =
        "HTTP/1.1 $status\r\nid: ${request.header("id")}\r\nsigned: 1\r\n$extra"

    private fun assertClosed(maxBytes: Long = MAX_READ_BYTES) {
        assertTrue(closed.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS), "closed after ${written.get()} bytes")
        assertTrue(written.get() < maxBytes, "closed after ${written.get()} bytes")
    }

    @Nested
    inner class Head {
        private fun run(first: (RawRequest) -> String, again: String) {
            relay.server("a") { request, socket -> endless(socket, first(request), again) }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
            assertClosed()
        }

        @Test
        fun `a status line without end fails the request`() = run({ "HTTP/1.1 200 " }, "x".repeat(1_000))

        @Test
        fun `header lines without end fail the request`() = run({ head(it) }, "filler: ${"y".repeat(200)}\r\n")

        @Test
        fun `one header without end fails the request`() = run({ head(it) + "filler: " }, "z".repeat(1_000))

        @Test
        fun `interim answers without end fail the request`() = run({ "" }, "HTTP/1.1 102 Processing\r\n\r\n")

        @Test
        fun `bytes that are no answer fail the request`() = run({ "" }, "\u0001\u0002garbage\r\n")
    }

    @Nested
    inner class Body {
        private val chunked = "transfer-encoding: chunked\r\n\r\n"

        @Test
        fun `chunk extensions without end fail the request`() {
            relay.server("a") { request, socket -> endless(socket, head(request, chunked) + "5;", "e".repeat(1_000)) }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
            assertClosed()
        }

        @Test
        fun `trailers without end fail the request`() {
            relay.server("a") { request, socket ->
                endless(socket, head(request, chunked) + "2\r\nok\r\n0\r\n", "t: ${"x".repeat(500)}\r\n")
            }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
            assertClosed()
        }

        @Test
        fun `an error without end goes to another server`() {
            relay.server("a") { request, socket ->
                endless(socket, head(request, "\r\n", "500 Error"), "e".repeat(10_000))
            }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
            assertClosed()
        }

        @Test
        fun `surplus bytes after an answer close the connection at once`() {
            relay.server("a") { request, socket ->
                endless(socket, head(request, "content-length: 2\r\n\r\nok"), "surplus".repeat(100))
            }
            assertTrue(relay.get("/once/1").endsWith("ok"))
            assertClosed()
        }

        @Test
        fun `surplus bytes on an idle connection close it at once`() {
            relay.server("a") { request, socket ->
                FakeServer.reply(socket, request, "ok")
                Thread.sleep(100)
                endless(socket, "", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx", pauseMs = 20)
            }
            assertTrue(relay.get("/once/1").endsWith("ok"))
            assertClosed()
        }

        @Test
        fun `a success without end is forwarded only as fast as the caller takes it`() {
            relay.server("a") { request, socket -> endless(socket, head(request, "\r\n"), "b".repeat(10_000)) }
            relay.connect().use { socket ->
                socket.getOutputStream().write("GET /safe/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n".toByteArray())
                Thread.sleep(STALL_MS)
                assertTrue(written.get() < MAX_STALLED_BYTES, "${written.get()} bytes taken from the server")
            }
            assertTrue(closed.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS))
        }
    }

    @Nested
    inner class Stream {
        private fun sound(id: String) =
            relay.server(id, ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..3) }

        @Test
        fun `an event without end moves the stream to another server`() {
            relay.server("bad", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request)
                endless(socket, "2710\r\n", "${"d".repeat(10_000)}\r\n2710\r\n")
            }
            relay.reportPeerLoad("bad", 0)
            val good = sound("good")
            relay.reportPeerLoad("good", 3_000)
            assertEquals(listOf("1", "2", "3"), ids(relay.get("/stream/1")))
            assertEquals(1, good.requests.size)
            assertClosed()
        }

        @Test
        fun `comments now and then do not keep a stalled stream`() {
            val begun = AtomicLong()
            relay.server("bad", ServerKind.DECODE) { request, socket ->
                begun.incrementAndGet()
                FakeServer.begin(socket, request)
                FakeServer.chunk(socket, FakeServer.event(1))
                endless(socket, "", "8\r\n: alive\n\r\n", pauseMs = 100)
            }
            val good = sound("good")
            relay.reportPeerLoad("good", 3_000)
            assertEquals(listOf("1", "2", "3"), ids(relay.get("/stream/1")))
            assertEquals(1L, begun.get())
            assertEquals("1", good.requests.single().header("after"))
        }

        @Test
        fun `an error without end moves the stream to another server`() {
            relay.server("bad", ServerKind.DECODE) { request, socket ->
                endless(socket, head(request, "\r\n", "500 Error"), "e", pauseMs = 50)
            }
            sound("good")
            relay.reportPeerLoad("good", 3_000)
            assertEquals(listOf("1", "2", "3"), ids(relay.get("/stream/1")))
        }

        @Test
        fun `a prefill answer without end leaves the prompt to another server`() {
            relay.server("p", ServerKind.PREFILL) { request, socket ->
                endless(socket, head(request, "\r\n"), "{", pauseMs = 50)
            }
            sound("d")
            assertEquals(listOf("1", "2", "3"), ids(relay.get("/stream/1")))
            assertClosed()
        }

        private fun ids(answer: String) = Regex("id: (\\d+)").findAll(answer.substringAfter("\r\n\r\n"))
            .map { it.groupValues[1] }.toList()
    }

    private companion object {
        const val GIVE_UP_BYTES = 200_000_000L

        /** Limits of the relay and the buffers of the two sockets. */
        const val MAX_READ_BYTES = 16_000_000L
        const val MAX_STALLED_BYTES = 24_000_000L
        const val CLOSE_TIMEOUT_MS = 4_000L
        const val STALL_MS = 700L
    }
}
