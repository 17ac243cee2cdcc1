package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Streams whose server is silent, and that are moved to a server that is silent as well. */
class BothServersSilentTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    private fun silentServer(id: String, silentBefore: Int, silenceMs: Long = SILENCE_MS) =
        relay.server(id, ServerKind.DECODE) { request, socket ->
            if (silentBefore == 0) Thread.sleep(silenceMs)
            FakeServer.begin(socket, request)
            (1..3).forEach {
                if (it == silentBefore) Thread.sleep(silenceMs)
                FakeServer.chunk(socket, FakeServer.event(it))
            }
            socket.getOutputStream().write("0\r\n\r\n".toByteArray())
            true
        }

    private fun second(answer: (RawRequest, Socket) -> Boolean): FakeServer {
        val server = relay.server("d2", ServerKind.DECODE, answer)
        relay.reportPeerLoad("d2", memoryTokens = 5_000)
        return server
    }

    private fun assertWhole(answer: String) {
        val events = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals(listOf("1", "2", "3"), events, answer.take(200))
        assertTrue(answer.endsWith("0\r\n\r\n"))
    }

    @Test
    fun `a stream is not cut when the server that it would move to is silent as well and then rejects it`() {
        silentServer("d1", silentBefore = 2)
        second { request, socket ->
            Thread.sleep(400)
            FakeServer.reject(socket, request)
        }
        assertWhole(relay.get("/stream/1"))
    }

    @Test
    fun `a stream goes on when the server that it would move to is silent as well`() {
        silentServer("d1", silentBefore = 2, silenceMs = 1_400)
        second { _, _ ->
            Thread.sleep(1_000)
            false
        }
        assertWhole(relay.get("/stream/1"))
    }

    private companion object {
        const val SILENCE_MS = 1_600L
    }
}
