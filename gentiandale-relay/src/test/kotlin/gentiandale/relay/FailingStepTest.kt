package gentiandale.relay

import gentiandale.core.ServerKind
import gentiandale.core.log.EventLog
import gentiandale.core.log.LogEvent
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertTrue

/** Errors in the relay itself while it handles a request. */
class FailingStepTest {
    private val events = CopyOnWriteArrayList<LogEvent>()

    @Volatile
    private var failingEvent = ""
    private val relay = RelayFixture(log = EventLog(::write))

    private fun write(event: LogEvent) {
        events += event
        check(event.name != failingEvent) { "$failingEvent can't be written" }
    }

    @AfterEach
    fun close() = relay.close()

    /** Sends a request during which the log entry [event] fails, and returns the answer. */
    private fun getFailingAt(event: String, target: String): String {
        failingEvent = event
        val startNs = System.nanoTime()
        val answer = relay.get(target)
        failingEvent = ""
        assertTrue((System.nanoTime() - startNs) / NANOS_PER_MS < ANSWER_MS, "answered late: $answer")
        assertTrue(events.any { it.name == "step-failed" }, "not logged: $answer")
        return answer
    }

    @Nested
    inner class Requests {
        @Test
        fun `an error before a request is dispatched is answered and the connection is kept`() {
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, "done") }
            relay.connect().use { socket ->
                val bad = "GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\ndeadline: none\r\n\r\n"
                val good = "GET /once/2 HTTP/1.1\r\nhost: h\r\nid: r2\r\nconnection: close\r\n\r\n"
                socket.getOutputStream().write((bad + good).toByteArray())
                val answers = String(socket.getInputStream().readAllBytes())
                assertTrue(answers.startsWith("HTTP/1.1 500"), answers)
                assertTrue(answers.endsWith("done"), answers)
            }
        }

        @Test
        fun `an error in the choice of a server is answered`() {
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, "done") }
            assertTrue(getFailingAt("placed", "/once/1").startsWith("HTTP/1.1 502"))
        }

        @Test
        fun `an error in the handling of a failure is answered`() {
            relay.server("a") { _, _ -> false }
            assertTrue(getFailingAt("send-failed", "/once/1").startsWith("HTTP/1.1 502"))
        }
    }

    @Nested
    inner class Generations {
        @Test
        fun `an error while a queued generation starts is answered and the next one is served`() {
            relay.server("d", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..2) }
            assertTrue(getFailingAt("reserved", "/stream/1").startsWith("HTTP/1.1 502"))
            val next = relay.get("/stream/2")
            assertTrue("id: 2" in next, next)
        }

        @Test
        fun `an error in the handling of a rejection is answered`() {
            relay.server("d", ServerKind.DECODE) { request, socket -> FakeServer.reject(socket, request) }
            assertTrue(getFailingAt("send-failed", "/stream/1").startsWith("HTTP/1.1 502"))
        }
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000

        /** Far below the timeout of the routes. */
        const val ANSWER_MS = 2_000L
    }
}
