package gentiandale.relay

import gentiandale.core.ServerKind
import gentiandale.core.backend.BackendState
import gentiandale.relay.routing.HttpServerLimits
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that are in progress when the configuration or the servers change. */
class ConfigurationChangeTest {
    private val relay = RelayFixture(HttpServerLimits(idleTimeoutMs = IDLE_MS))

    @AfterEach
    fun close() = relay.close()

    private fun silentServer(id: String) = relay.server(id, ServerKind.DECODE) { request, socket ->
        FakeServer.begin(socket, request)
        FakeServer.chunk(socket, FakeServer.event(1))
        Thread.sleep(1_600)
        (2..3).forEach { FakeServer.chunk(socket, FakeServer.event(it)) }
        socket.getOutputStream().write("0\r\n\r\n".toByteArray())
        true
    }

    private fun assertWholeAfter(afterMs: Long, change: () -> Unit) {
        val answer = CompletableFuture.supplyAsync { relay.get("/stream/1") }
        Thread.sleep(afterMs)
        change()
        val text = answer.get()
        assertEquals(3, Regex("data: x\\d").findAll(text).count(), text.take(200))
        assertTrue(text.endsWith("0\r\n\r\n"))
    }

    @Nested
    inner class SilentStreams {
        @Test
        fun `a silent stream that is queued survives the removal of its route and service`() {
            silentServer("d1")
            relay.server("d2", ServerKind.DECODE) { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            assertWholeAfter(1_200) { relay.removeConfiguration() }
        }

        @Test
        fun `a silent stream survives the removal of its route and service before the silence is noticed`() {
            silentServer("d1")
            assertWholeAfter(300) { relay.removeConfiguration() }
        }

        @Test
        fun `a silent stream survives the leave of its server`() {
            val server = silentServer("d1")
            assertWholeAfter(1_200) {
                relay.merge(rowOf("d1", ServerKind.DECODE, server.port, state = BackendState.LEAVING, sequence = 2))
            }
        }

        @Test
        fun `a silent stream survives that its server is gone from the registry`() {
            val server = silentServer("d1")
            assertWholeAfter(300) {
                relay.merge(rowOf("d1", ServerKind.DECODE, server.port, state = BackendState.GONE, sequence = 2))
            }
        }
    }

    @Nested
    inner class QueuedRequests {
        @Test
        fun `a request that waits for capacity is answered though its route and service are removed`() {
            relay.server("d1", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..3) }
            relay.reportPeerLoad("d1", memoryTokens = 10_000)
            assertWholeAfter(300) {
                relay.removeConfiguration()
                relay.reportPeerLoad("d1", memoryTokens = 0)
            }
        }

        @Test
        fun `a call that waits for a full server ends with an answer though its route and service are removed`() {
            relay.server("s1") { request, socket -> FakeServer.reject(socket, request) }
            val answer = CompletableFuture.supplyAsync { relay.get("/safe/1") }
            Thread.sleep(50)
            relay.removeConfiguration()
            assertTrue(answer.get().startsWith("HTTP/1.1 503"))
        }
    }

    @Nested
    inner class StalledLoop {
        @Test
        fun `a request that arrived in a pause of the event loop is answered on an idle connection`() {
            relay.server("s1") { request, socket -> FakeServer.reply(socket, request, "done") }
            relay.connect().use { socket ->
                val request = "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n"
                socket.getOutputStream().write(request.toByteArray())
                val buffer = ByteArray(1_000)
                socket.getInputStream().read(buffer)
                Thread.sleep(IDLE_MS - 200)
                relay.stall(600)
                Thread.sleep(50)
                socket.getOutputStream().write(request.replace("r1", "r2").toByteArray())
                val count = runCatching { socket.getInputStream().read(buffer) }.getOrElse { -2 }
                assertTrue(count > 0, "closed: $count")
            }
        }
    }

    @Nested
    inner class IdleTimes {
        @Test
        fun `a kept connection is not closed after the idle time of an earlier configuration`() {
            relay.server("s1") { request, socket -> FakeServer.reply(socket, request, "done") }
            relay.connect().use { socket ->
                val request = "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n"
                val buffer = ByteArray(1_000)
                socket.getOutputStream().write(request.toByteArray())
                socket.getInputStream().read(buffer)
                relay.presentLimits = HttpServerLimits(idleTimeoutMs = 10 * IDLE_MS)
                Thread.sleep(IDLE_MS / 2)
                socket.getOutputStream().write(request.replace("r1", "r2").toByteArray())
                socket.getInputStream().read(buffer)
                Thread.sleep(2 * IDLE_MS)
                socket.getOutputStream().write(request.replace("r1", "r3").toByteArray())
                val count = runCatching { socket.getInputStream().read(buffer) }.getOrElse { -2 }
                assertTrue(count > 0, "closed: $count")
            }
        }
    }

    @Nested
    inner class StalledReads {
        @Test
        fun `a request that arrived while other connections were read is answered on an idle connection`() {
            relay.server("s1") { request, socket ->
                val extra = if ("leave" in request.target) "leaving: 1\r\n" else ""
                FakeServer.reply(socket, request, "done", extra = extra)
            }
            relay.server("s2") { request, socket ->
                val extra = if ("leave" in request.target) "leaving: 1\r\n" else ""
                FakeServer.reply(socket, request, "done", extra = extra)
            }
            relay.connect().use { socket ->
                val request = "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n"
                socket.getOutputStream().write(request.toByteArray())
                val buffer = ByteArray(1_000)
                socket.getInputStream().read(buffer)
                Thread.sleep(IDLE_MS - 200)
                relay.departureMs = 600
                val other = CompletableFuture.supplyAsync { relay.get("/once/leave", id = "r3") }
                Thread.sleep(60)
                socket.getOutputStream().write(request.replace("r1", "r2").toByteArray())
                val count = runCatching { socket.getInputStream().read(buffer) }.getOrElse { -2 }
                other.get()
                assertEquals(1, relay.departed.size)
                assertTrue(count > 0, "closed: $count")
            }
        }
    }

    private companion object {
        const val IDLE_MS = 700L
    }
}
