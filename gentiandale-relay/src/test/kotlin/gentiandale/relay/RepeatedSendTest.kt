package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against taking a late copy of the answer to one send of a request for the answer to its next send. */
class RepeatedSendTest {
    private val relay = RelayFixture()
    private val runs = AtomicInteger()
    private val firstAnswers = ConcurrentHashMap<Socket, () -> Unit>()

    @AfterEach
    fun close() = relay.close()

    /** Sends the first answer of the connection [socket] once more, as it comes late. */
    private fun repeatFirstAnswer(socket: Socket) = firstAnswers[socket]?.invoke()

    /** Rejects the first request and runs later ones, after a late copy of a rejection on their connection. */
    private fun rejectFirst(request: RawRequest, socket: Socket, run: () -> Boolean): Boolean {
        if (firstAnswers.isEmpty()) {
            firstAnswers[socket] = { FakeServer.reject(socket, request) }
            return FakeServer.reject(socket, request)
        }
        repeatFirstAnswer(socket)
        runs.incrementAndGet()
        Thread.sleep(RUN_MS)
        return run()
    }

    @Nested
    inner class Rejections {
        @Test
        fun `a call that must not be repeated runs once`() {
            relay.server("a") { request, socket ->
                rejectFirst(request, socket) { FakeServer.reply(socket, request, "ran") }
            }
            assertTrue(relay.get("/once/1").endsWith("ran"))
            Thread.sleep(SETTLE_MS)
            assertEquals(1, runs.get())
        }

        @Test
        fun `a stream that can't be resumed runs once`() {
            relay.server("d", ServerKind.DECODE) { request, socket ->
                rejectFirst(request, socket) { FakeServer.stream(socket, request, 1..3) }
            }
            val answer = relay.get("/stream-once/1")
            assertTrue("id: 3" in answer, answer)
            Thread.sleep(SETTLE_MS)
            assertEquals(1, runs.get())
        }
    }

    @Nested
    inner class Prefills {
        @Test
        fun `the handle of an expired KV cache is not used again`() {
            val reads = AtomicInteger()
            relay.prefillServer("p") { request, socket ->
                repeatFirstAnswer(socket)
                if (firstAnswers.isNotEmpty()) Thread.sleep(RUN_MS)
                val handle = "h${reads.incrementAndGet()}"
                firstAnswers.putIfAbsent(socket) { FakeServer.reply(socket, request, handle) }
                FakeServer.reply(socket, request, handle)
            }
            val decode = relay.server("d", ServerKind.DECODE) { request, socket ->
                val isExpired = request.header("cache").orEmpty().endsWith("h1")
                if (isExpired) FakeServer.reject(socket, request) else FakeServer.stream(socket, request, 1..2)
            }
            assertTrue("id: 2" in relay.get("/stream/1"))
            assertEquals(listOf("h1", "h2"), decode.requests.map { it.header("cache")?.substringAfter('/') })
        }
    }

    private companion object {
        const val RUN_MS = 30L

        /** Time for a further send to reach its server. */
        const val SETTLE_MS = 200L
    }
}
