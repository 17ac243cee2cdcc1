package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CallerConnectionTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    private fun send(socket: Socket, text: String) = socket.getOutputStream().write(text.toByteArray())

    /** Reads one answer with a length and returns its body. */
    private fun readBody(socket: Socket): String {
        val head = FakeServer.readHead(socket.getInputStream()) ?: return "closed"
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        return String(socket.getInputStream().readNBytes(length))
    }

    @Nested
    inner class Pipelining {
        private fun chunked(parts: Int) =
            "POST /once/2 HTTP/1.1\r\nhost: h\r\nid: r2\r\ntransfer-encoding: chunked\r\n\r\n" +
                "1\r\nx\r\n".repeat(parts) + "0\r\n\r\n"

        @Test
        fun `a request is answered although the next one follows in many parts`() {
            relay.server("a") { request, socket ->
                Thread.sleep(RUN_MS)
                FakeServer.reply(socket, request, "${request.target} ${request.body.length}")
            }
            relay.connect().use { socket ->
                send(socket, "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n" + chunked(PARTS))
                assertEquals("/once/1 0", readBody(socket))
                assertEquals("/once/2 $PARTS", readBody(socket))
                send(socket, "GET /once/3 HTTP/1.1\r\nhost: h\r\nid: r3\r\n\r\n")
                assertEquals("/once/3 0", readBody(socket))
            }
        }

        @Test
        fun `many short requests behind one that runs are all answered`() {
            relay.server("a") { request, socket ->
                Thread.sleep(RUN_MS)
                FakeServer.reply(socket, request, "done")
            }
            val first = "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n"
            val last = "GET / HTTP/1.1\r\nconnection: close\r\n\r\n"
            val answers = relay.exchange(first + "GET / HTTP/1.1\r\n\r\n".repeat(SHORT_REQUESTS) + last)
            assertEquals(SHORT_REQUESTS + 1, answers.split("HTTP/1.1 404").size - 1)
        }

        @Test
        fun `a caller that sends without an end while its request runs is stopped by the flow control`() {
            relay.server("a") { request, socket ->
                Thread.sleep(RUN_MS)
                FakeServer.reply(socket, request, "done")
            }
            relay.connect().use { socket ->
                send(socket, "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n")
                val part = "400\r\n${"x".repeat(PART_BYTES)}\r\n".repeat(PARTS)
                send(socket, "POST /once/2 HTTP/1.1\r\nhost: h\r\nid: r2\r\ntransfer-encoding: chunked\r\n\r\n")
                val sender = kotlin.concurrent.thread { runCatching { while (true) send(socket, part) } }
                assertEquals("done", readBody(socket))
                assertTrue(FakeServer.readHead(socket.getInputStream()).orEmpty().startsWith("HTTP/1.1 413"))
                sender.join()
            }
        }
    }

    @Nested
    inner class HeadRequests {
        @Test
        fun `the answer on the route of a stream has no body`() {
            relay.server("d", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request)
                true
            }
            relay.connect().use { socket ->
                send(socket, "HEAD /stream/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n")
                assertTrue(FakeServer.readHead(socket.getInputStream()).orEmpty().startsWith("HTTP/1.1 "))
                send(socket, "GET /none HTTP/1.1\r\nhost: h\r\nid: r2\r\n\r\n")
                val next = FakeServer.readHead(socket.getInputStream()).orEmpty()
                assertTrue(next.startsWith("HTTP/1.1 404"), next)
            }
        }
    }

    private companion object {
        const val RUN_MS = 200L

        /** More parts than wait behind a request that runs. */
        const val PARTS = 200
        const val SHORT_REQUESTS = 3_000
        const val PART_BYTES = 1_024
    }
}
