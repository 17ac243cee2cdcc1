package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Sound servers that send nothing for longer than a second and then go on. */
class SilentServerTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    /** Streams three events with a silence of [SILENCE_MS] milliseconds before the event [silentBefore]. */
    private fun silentServer(id: String, silentBefore: Int) =
        relay.server(id, ServerKind.DECODE) { request, socket ->
            FakeServer.begin(socket, request)
            (1..3).forEach {
                if (it == silentBefore) Thread.sleep(SILENCE_MS)
                FakeServer.chunk(socket, FakeServer.event(it))
            }
            socket.getOutputStream().write("0\r\n\r\n".toByteArray())
            true
        }

    private fun assertWhole(answer: String) {
        val events = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals(listOf("1", "2", "3"), events, answer.substringBefore("\r\n"))
        assertTrue(answer.endsWith("0\r\n\r\n"))
    }

    @Nested
    inner class NoOtherServer {
        @Test
        fun `a stream is not cut in a silence of the only server`() {
            silentServer("d1", silentBefore = 2)
            assertWhole(relay.get("/stream/1"))
        }

        @Test
        fun `a request is not failed in a silence of the only server before the first event`() {
            silentServer("d1", silentBefore = 1)
            assertWhole(relay.get("/stream/1"))
        }
    }

    @Nested
    inner class FullServers {
        @Test
        fun `a stream is not cut in a silence while the other servers are full`() {
            silentServer("d1", silentBefore = 2)
            val other = relay.server("d2", ServerKind.DECODE) { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            assertWhole(relay.get("/stream-short/1"))
            assertEquals(0, other.requests.size)
        }

        @Test
        fun `a stream is not cut in a silence while the prefill servers have a backlog`() {
            silentServer("d1", silentBefore = 2)
            relay.reportPeerPrompts("d1", promptTokens = 0)
            relay.server("d2", ServerKind.DECODE) { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            relay.server("p", ServerKind.PREFILL) { request, socket -> FakeServer.reply(socket, request, "h42") }
            relay.reportPeerPrompts("p", promptTokens = 1_000_000)
            assertWhole(relay.get("/stream/1"))
        }
    }

    @Nested
    inner class OtherServers {
        @Test
        fun `a silent stream goes on at another server that has room`() {
            val silent = relay.server("d1", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request)
                FakeServer.chunk(socket, FakeServer.event(1))
                Thread.sleep(5 * SILENCE_MS)
                false
            }
            relay.reportPeerLoad("d1", memoryTokens = 0)
            relay.server("d2", ServerKind.DECODE) { request, socket ->
                FakeServer.stream(socket, request, (request.header("after")?.toInt() ?: 0) + 1..3)
            }
            relay.reportPeerLoad("d2", memoryTokens = 5_000)
            val startMs = System.nanoTime() / NANOS_PER_MS
            assertWhole(relay.get("/stream/1"))
            assertTrue(System.nanoTime() / NANOS_PER_MS - startMs < 2 * SILENCE_MS)
            assertEquals(1, silent.requests.size)
        }

        @Test
        fun `a stream is not cut when the server that it would move to rejects it`() {
            silentServer("d1", silentBefore = 2)
            relay.server("d2", ServerKind.DECODE) { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 5_000)
            assertWhole(relay.get("/stream/1"))
        }
    }

    private companion object {
        const val SILENCE_MS = 1_600L
        const val NANOS_PER_MS = 1_000_000L
    }
}
