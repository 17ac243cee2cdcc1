package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Streams that break off at a VM with one retry left. */
class LastRetryTest {
    private val relay = RelayFixture(retryMinimum = 0)

    @AfterEach
    fun close() = relay.close()

    /** Starts a decode server that breaks off new streams behind `/stream/broken` and resumes any. */
    private fun decodeServer(id: String): FakeServer = relay.server(id, ServerKind.DECODE) { request, socket ->
        val after = request.header("after")?.toInt()
        if (after == null && request.target == BROKEN) {
            FakeServer.breakOff(socket, request)
        } else {
            FakeServer.stream(socket, request, (after ?: 0) + 1..3)
        }
    }

    private fun prefillServer(answer: (RawRequest, Socket) -> Boolean): FakeServer = relay.prefillServer("p", answer)

    private fun assertWhole(answer: String) {
        val events = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals(listOf("1", "2", "3"), events, answer.take(200))
        assertTrue(answer.endsWith("0\r\n\r\n"))
    }

    /** Spends no retry; each request adds 0.8 of one. */
    private fun requestOthers(count: Int) = repeat(count) { assertWhole(relay.get("/stream/$it", id = "other$it")) }

    @Nested
    inner class OneRetry {
        @Test
        fun `a broken stream is not cut because reading its prompt elsewhere takes the last retry`() {
            prefillServer { request, socket -> FakeServer.reply(socket, request, "h42") }
            listOf("d1", "d2").forEach { decodeServer(it) }
            requestOthers(1)
            assertWhole(relay.get(BROKEN))
        }
    }

    @Nested
    inner class TwoRetries {
        @Test
        fun `the prompt of a broken stream is read by a prefill server`() {
            val prefill = prefillServer { request, socket -> FakeServer.reply(socket, request, "h42") }
            listOf("d1", "d2").forEach { decodeServer(it) }
            requestOthers(2)
            assertWhole(relay.get(BROKEN))
            assertEquals(2, prefill.requests.count { it.target == BROKEN })
        }

        @Test
        fun `a retry that is set aside for a stream is not lost when a prefill fails`() {
            var calls = 0
            prefillServer { request, socket ->
                val isRejected = request.target == BROKEN && ++calls > 1
                if (isRejected) FakeServer.reject(socket, request) else FakeServer.reply(socket, request, "h42")
            }
            listOf("d1", "d2").forEach { decodeServer(it) }
            requestOthers(2)
            assertWhole(relay.get(BROKEN))
        }
    }

    private companion object {
        const val BROKEN = "/stream/broken"
    }
}
