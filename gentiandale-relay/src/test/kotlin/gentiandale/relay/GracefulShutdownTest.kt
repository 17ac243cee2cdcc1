package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.ConnectException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class GracefulShutdownTest {
    private val relay = RelayFixture()
    private val received = CountDownLatch(1)

    @AfterEach
    fun close() = relay.close()

    private fun startSlowServer(delayMs: Long) = relay.server("a") { request, socket ->
        received.countDown()
        Thread.sleep(delayMs)
        FakeServer.reply(socket, request, "done")
    }

    private fun shutDownLater(limitMs: Long = LIMIT_MS) = CompletableFuture.supplyAsync { relay.shutDown(limitMs) }

    private fun send(socket: Socket, text: String) = socket.getOutputStream().write(text.toByteArray())

    private fun answer(socket: Socket) = String(socket.getInputStream().readAllBytes())

    @Nested
    inner class AcceptedRequests {
        @Test
        fun `a running request is answered before the shutdown ends`() {
            startSlowServer(delayMs = 400)
            val answer = CompletableFuture.supplyAsync { relay.get("/once/1") }
            received.await()
            assertTrue(shutDownLater().get())
            assertTrue(answer.get(1, TimeUnit.SECONDS).endsWith("done"))
        }

        @Test
        fun `a request of which only a part has arrived is read to its end and answered`() {
            startSlowServer(delayMs = 50)
            relay.connect().use { socket ->
                send(socket, "GET /once/1 HTTP/1.1\r\nhost: h\r\n")
                val shutdown = shutDownLater()
                Thread.sleep(100)
                send(socket, "id: r1\r\n\r\n")
                assertTrue(answer(socket).endsWith("done"))
                assertTrue(shutdown.get())
            }
        }

        @Test
        fun `a connection opened just before gets an answer to its first request`() {
            startSlowServer(delayMs = 50)
            relay.connect().use { socket ->
                val shutdown = shutDownLater()
                Thread.sleep(100)
                send(socket, "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n")
                assertTrue(answer(socket).endsWith("done"))
                assertTrue(shutdown.get())
            }
        }

        @Test
        fun `a request that arrives in time is answered although the VM was too busy to read it`() {
            startSlowServer(delayMs = 50)
            relay.connect().use { socket ->
                val shutdown = shutDownLater()
                Thread.sleep(SETTLE_MS)
                relay.stall(STALL_MS)
                Thread.sleep(SETTLE_MS)
                send(socket, "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n")
                assertTrue(answer(socket).endsWith("done"))
                assertTrue(shutdown.get())
            }
        }

        @Test
        fun `connections that wait to be accepted as listening stops are answered`() {
            relay.stall(STALL_MS)
            val sockets = List(WAITING_CALLERS) { relay.connect() }
            sockets.forEach { send(it, "GET /none HTTP/1.1\r\nhost: h\r\n\r\n") }
            val shutdown = shutDownLater()
            val answers = sockets.map { socket -> runCatching { socket.use(::answer) }.getOrElse { "$it" } }
            assertEquals(emptyList(), answers.filterNot { it.startsWith("HTTP/1.1 404") })
            assertTrue(shutdown.get())
        }

        @Test
        fun `a plain request whose server takes too long is answered before the shutdown ends`() {
            startSlowServer(delayMs = 4_000)
            relay.beginShutdown(agoMs = 4_000, remainingMs = 1_200)
            val startNs = System.nanoTime()
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 504"))
            assertTrue(System.nanoTime() - startNs < 1_200_000_000)
        }
    }

    @Nested
    inner class QueuedGenerations {
        @Test
        fun `a generation that no engine has started is refused before the process ends`() {
            val engine = relay.server("d", ServerKind.DECODE) { request, socket ->
                FakeServer.stream(socket, request, 1..3)
            }
            relay.reportPeerLoad("d", memoryTokens = FULL_TOKENS)
            val answer = CompletableFuture.supplyAsync { relay.get("/stream/1") }
            Thread.sleep(100)
            assertTrue(shutDownLater(limitMs = 2_000).get())
            assertTrue(answer.get(1, TimeUnit.SECONDS).startsWith("HTTP/1.1 503"))
            assertEquals(0, engine.requests.size)
        }
    }

    @Nested
    inner class Connections {
        @Test
        fun `new connections are refused once the shutdown closes idle ones`() {
            relay.connect().use { idle ->
                Thread.sleep(300)
                val shutdown = shutDownLater()
                assertEquals(-1, idle.getInputStream().read())
                assertFailsWith<ConnectException> { relay.connect() }
                assertTrue(shutdown.get())
            }
        }

        @Test
        fun `a request that outlasts the shutdown is reported`() {
            startSlowServer(delayMs = 4_000)
            val answer = CompletableFuture.supplyAsync { relay.get("/once/1") }
            received.await()
            assertFalse(shutDownLater(limitMs = 600).get())
            assertFalse(answer.isDone)
        }
    }

    private companion object {
        const val LIMIT_MS = 5_000L

        /** Memory of an engine that takes no further generation. */
        const val FULL_TOKENS = 10_000L

        /** Time for the relay to begin what it has been asked for. */
        const val SETTLE_MS = 80L

        /** Longer than a request has to arrive once listening has stopped. */
        const val STALL_MS = 400L

        /** Many times what is accepted at once. */
        const val WAITING_CALLERS = 150
    }
}
