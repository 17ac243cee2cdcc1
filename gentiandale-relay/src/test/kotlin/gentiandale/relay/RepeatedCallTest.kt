package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Callers that send a request again, with the same id, after its first answer. */
class RepeatedCallTest {
    private val relay = RelayFixture()
    private val used = ConcurrentHashMap.newKeySet<Socket>()
    private val runs = AtomicInteger()

    @Volatile
    private var isRejecting = true

    @AfterEach
    fun close() = relay.close()

    /** Answers by [first], which comes again before the answer to the next request on a connection, or by [run]. */
    private fun answerAgain(socket: Socket, isFirst: Boolean, first: () -> Boolean, run: () -> Boolean): Boolean {
        val isUsed = !used.add(socket)
        if (isFirst) return first()
        if (isUsed) first()
        runs.incrementAndGet()
        Thread.sleep(RUN_MS)
        return run()
    }

    @Test
    fun `a call without an id is not answered by a late copy on a used connection`() {
        relay.server("a") { request, socket ->
            val first = RawRequest("GET / HTTP/1.1\r\nid: r1\r\n\r\n", "")
            if (request.header("id") == null && !used.add(socket)) FakeServer.reply(socket, first, "first")
            used.add(socket)
            FakeServer.reply(socket, request, if (request.header("id") == null) "second" else "first")
        }
        relay.get("/once/1")
        val answer = relay.exchange("GET /once/2 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        assertFalse(answer.endsWith("first"), answer)
    }

    @Test
    fun `a call runs once after the rejection of the first one`() {
        relay.server("a") { request, socket ->
            answerAgain(socket, isRejecting, { FakeServer.reject(socket, request) }) {
                FakeServer.reply(socket, request, "ran")
            }
        }
        assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 503"))
        isRejecting = false
        val answer = relay.get("/once/1")
        Thread.sleep(SETTLE_MS)
        assertEquals(1, runs.get())
        assertTrue(answer.endsWith("\r\n\r\nran"), answer)
    }

    @Test
    fun `a call is not answered by the failure of the first one`() {
        relay.server("a") { request, socket ->
            answerAgain(socket, used.isEmpty(), { FakeServer.reply(socket, request, "", status = "500 Error") }) {
                FakeServer.reply(socket, request, "ran")
            }
        }
        assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 500"))
        val answer = relay.get("/once/1")
        assertTrue(answer.endsWith("\r\n\r\nran"), answer)
    }

    @Test
    fun `a stream that its caller resumes does not end with the events of the first one`() {
        relay.server("d", ServerKind.DECODE) { request, socket ->
            answerAgain(socket, used.isEmpty(), { FakeServer.stream(socket, request, 1..2) }) {
                FakeServer.stream(socket, request, 3..4)
            }
        }
        assertEquals(listOf("1", "2"), events(relay.get("/stream/1")))
        assertEquals(listOf("3", "4"), events(relay.get("/stream/1", extra = "after: 2\r\n")))
    }

    private fun events(answer: String) = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()

    private companion object {
        const val RUN_MS = 30L

        /** Time for a further send to reach its server. */
        const val SETTLE_MS = 200L
    }
}
