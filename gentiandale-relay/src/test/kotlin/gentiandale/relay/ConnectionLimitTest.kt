package gentiandale.relay

import gentiandale.core.ServerKind
import gentiandale.core.backend.BackendState
import gentiandale.core.log.EventLog
import gentiandale.core.log.LogEvent
import gentiandale.core.log.LogLine
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that are to go to a server to which all connections of this VM are in use. */
class ConnectionLimitTest {
    private val log = CopyOnWriteArrayList<LogEvent>()
    private val relay = RelayFixture(log = EventLog { log += it }, maxConnections = MAX_CONNECTIONS)
    private val held = CountDownLatch(MAX_CONNECTIONS)
    private val isOver = CountDownLatch(1)

    @AfterEach
    fun close() {
        isOver.countDown()
        relay.close()
    }

    /** Uses all connections to the only server, which answers none of the requests for [target] for a while. */
    private fun holdConnections(target: String) {
        repeat(MAX_CONNECTIONS) { number ->
            thread(isDaemon = true) { runCatching { relay.get(target, id = "h$number") } }
        }
        assertTrue(held.await(TIMEOUT_MS, TimeUnit.MILLISECONDS))
    }

    private fun hold(request: RawRequest, socket: Socket, isStream: Boolean): Boolean {
        if (isStream) {
            FakeServer.begin(socket, request)
            FakeServer.chunk(socket, FakeServer.event(1))
        }
        held.countDown()
        isOver.await()
        return false
    }

    /** Waits until the peer has closed [socket]; returns whether it did so in time. */
    private fun awaitClose(socket: Socket): Boolean {
        socket.soTimeout = STOP_MS
        return runCatching { socket.getInputStream().read() < 0 }.getOrDefault(false)
    }

    @Nested
    inner class Streams {
        private val isStopped = CompletableFuture<Boolean>()

        /** Starts the full server `d1` and the server `d2`, which stops after the first event of a stream. */
        private fun startServers() {
            relay.server("d1", ServerKind.DECODE) { request, socket -> hold(request, socket, isStream = true) }
            holdConnections("/stream-once/1")
            relay.prefillServer("p") { request, socket -> FakeServer.reply(socket, request, "h42") }
            relay.server("d2", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request)
                FakeServer.chunk(socket, FakeServer.event(1))
                isStopped.complete(awaitClose(socket))
                false
            }
            relay.server("d3", ServerKind.DECODE) { request, socket ->
                val after = request.header("after")?.toInt() ?: 0
                FakeServer.begin(socket, request)
                isStopped.get()
                (after + 1..3).forEach { FakeServer.chunk(socket, FakeServer.event(it)) }
                socket.getOutputStream().write("0\r\n\r\n".toByteArray())
                true
            }
            relay.reportPeerLoad("d2", memoryTokens = 4_000)
            relay.reportPeerLoad("d3", memoryTokens = 7_000)
        }

        @Test
        fun `a stream that pauses goes on at another server only after its server has been stopped`() {
            startServers()
            val answer = relay.get("/stream/1")
            assertTrue(isStopped.get(), "the server before still works on the request: $answer")
            assertTrue("id: 3" in answer, answer)
        }
    }

    @Nested
    inner class PlainCalls {
        private fun startFullServer(): FakeServer {
            val server = relay.server("a") { request, socket -> hold(request, socket, isStream = false) }
            holdConnections("/once/1")
            return server
        }

        @Test
        fun `a failure is attributed to the server that has answered`() {
            val full = startFullServer()
            relay.merge(rowOf("a", port = full.port, state = BackendState.LEAVING, sequence = 2))
            relay.server("b") { request, socket -> FakeServer.reply(socket, request, "", status = "500 Broken") }
            // A server that has just failed is the second choice.
            relay.get("/safe/1")
            relay.merge(rowOf("a", port = full.port, sequence = 3))
            log.clear()
            relay.get("/safe/2")
            val failures = log.filter { it.name == "send-failed" }.map { LogLine().apply(it::describe).build() }
            assertEquals(listOf("a", "b"), failures.map { it.substringAfter("\"server\":\"").take(1) }, "$failures")
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 3
        const val TIMEOUT_MS = 5_000L

        /** Longer than the gap between two events after which a stream is moved. */
        const val STOP_MS = 3_000
    }
}
