package gentiandale.relay

import gentiandale.relay.routing.HttpServerLimits
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Timeouts of callers' connections while a request is unread or an answer unwritten. */
class CallerTimeoutTest {
    private val relay = RelayFixture(HttpServerLimits(headerTimeoutMs = TIMEOUT_MS, idleTimeoutMs = TIMEOUT_MS))

    @AfterEach
    fun close() = relay.close()

    private fun request(number: Int) = "GET /once/$number HTTP/1.1\r\nhost: h\r\nid: r$number\r\n\r\n"

    private fun send(socket: Socket, text: String) = socket.getOutputStream().write(text.toByteArray())

    private fun readHead(socket: Socket): String =
        runCatching { FakeServer.readHead(socket.getInputStream()) }.getOrElse { "$it" }.orEmpty()

    private fun assertAnswered(socket: Socket) {
        val head = readHead(socket)
        assertTrue(head.startsWith("HTTP/1.1 200"), "closed: $head")
    }

    @Nested
    inner class UnwrittenAnswers {
        private val body = "x".repeat(BODY_BYTES)
        private val server = relay.server("a") { request, socket -> FakeServer.reply(socket, request, body) }

        /** Opens a connection on which more answers wait than the sockets hold. */
        private fun requestWithoutReading(): Socket {
            val socket = Socket()
            socket.receiveBufferSize = BUFFER_BYTES
            socket.soTimeout = 5_000
            socket.connect(InetSocketAddress("127.0.0.1", relay.port))
            send(socket, (1..ANSWERS).joinToString("") { request(it) })
            val endMs = System.nanoTime() / NANOS_PER_MS + SERVE_MS
            while (server.requests.size < ANSWERS && System.nanoTime() / NANOS_PER_MS < endMs) Thread.sleep(10)
            assertEquals(ANSWERS, server.requests.size)
            return socket
        }

        private fun assertAllRead(socket: Socket) {
            val read = (1..ANSWERS).takeWhile {
                readHead(socket).startsWith("HTTP/1.1 200") &&
                    socket.getInputStream().readNBytes(BODY_BYTES).size == BODY_BYTES
            }
            assertEquals(ANSWERS, read.size)
        }

        @Test
        fun `an answer that a slow caller has not read when the idle time ends is not cut`() {
            requestWithoutReading().use { socket ->
                Thread.sleep(2 * TIMEOUT_MS)
                assertAllRead(socket)
            }
        }

        @Test
        fun `answers are not cut when their caller reads nothing for seconds`() {
            requestWithoutReading().use { socket ->
                Thread.sleep(PAUSE_MS)
                assertAllRead(socket)
            }
        }

        @Test
        fun `an answer that a slow caller has not read in a planned stop is not cut`() {
            requestWithoutReading().use { socket ->
                Thread.sleep(TIMEOUT_MS / 2)
                val shutdown = CompletableFuture.supplyAsync { relay.shutDown(5_000) }
                Thread.sleep(TIMEOUT_MS)
                assertAllRead(socket)
                assertTrue(shutdown.get())
            }
        }
    }

    @Nested
    inner class UnreadRequests {
        init {
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, "done") }
        }

        @Test
        fun `a new connection is not closed after the header timeout of an earlier configuration`() {
            relay.connect().use { socket ->
                Thread.sleep(TIMEOUT_MS / 2)
                relay.presentLimits = HttpServerLimits(headerTimeoutMs = 10 * TIMEOUT_MS)
                Thread.sleep(TIMEOUT_MS)
                send(socket, request(1))
                assertAnswered(socket)
            }
        }

        @Test
        fun `a request that arrived in a pause of the event loop is answered on a new connection`() {
            relay.connect().use { socket ->
                Thread.sleep(TIMEOUT_MS - 200)
                relay.stall(400)
                Thread.sleep(50)
                send(socket, request(1))
                assertAnswered(socket)
            }
        }

        @Test
        fun `a body that arrived in a pause of the event loop is read although its time is over`() {
            relay.connect().use { socket ->
                send(socket, "POST /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\ncontent-length: 4\r\n\r\nab")
                Thread.sleep(TIMEOUT_MS - 200)
                relay.stall(400)
                Thread.sleep(50)
                send(socket, "cd")
                assertAnswered(socket)
            }
        }

        @Test
        fun `a body is not cut after the time limit of an earlier configuration`() {
            relay.connect().use { socket ->
                send(socket, "POST /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\ncontent-length: 4\r\n\r\nab")
                Thread.sleep(TIMEOUT_MS / 2)
                relay.presentLimits = HttpServerLimits(idleTimeoutMs = 10 * TIMEOUT_MS)
                Thread.sleep(TIMEOUT_MS)
                send(socket, "cd")
                assertAnswered(socket)
            }
        }

        @Test
        fun `the head of a request that arrived in a pause after the idle time is read`() {
            relay.connect().use { socket ->
                send(socket, request(1))
                assertAnswered(socket)
                socket.getInputStream().readNBytes(4)
                Thread.sleep(TIMEOUT_MS / 2)
                send(socket, "GET /once/2 HTTP/1.1\r\n")
                Thread.sleep(TIMEOUT_MS / 2 + TIMEOUT_MS - 200)
                relay.stall(400)
                Thread.sleep(50)
                send(socket, "host: h\r\nid: r2\r\n\r\n")
                assertAnswered(socket)
            }
        }
    }

    @Nested
    inner class AbandonedConnections {
        @Test
        fun `a connection without a request is closed after the header timeout`() {
            relay.connect().use { socket ->
                val startMs = System.nanoTime() / NANOS_PER_MS
                assertEquals(-1, socket.getInputStream().read())
                assertTrue(System.nanoTime() / NANOS_PER_MS - startMs in TIMEOUT_MS - 100..3 * TIMEOUT_MS)
            }
        }

        @Test
        fun `a caller that sends a head byte by byte is closed`() {
            relay.connect().use { socket ->
                val startMs = System.nanoTime() / NANOS_PER_MS
                runCatching {
                    while (true) {
                        send(socket, "x")
                        Thread.sleep(50)
                    }
                }
                assertTrue(System.nanoTime() / NANOS_PER_MS - startMs in TIMEOUT_MS - 100..3 * TIMEOUT_MS)
            }
        }
    }

    private companion object {
        const val TIMEOUT_MS = 700L
        const val NANOS_PER_MS = 1_000_000L
        const val SERVE_MS = 8_000L
        const val PAUSE_MS = 7_000L
        const val ANSWERS = 6_000
        const val BODY_BYTES = 1_000
        const val BUFFER_BYTES = 4_096
    }
}
