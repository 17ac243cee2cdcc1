package gentiandale.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers that name in their answers the requests a second that they take from all VMs together. */
class RequestLimitTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    private fun limited(id: String, limit: String) = relay.server(id) { request, socket ->
        FakeServer.reply(socket, request, id, extra = "limit: $limit\r\n")
    }

    /** Sends requests one after the other for [forMs] milliseconds, and returns the answers. */
    private fun sendFor(forMs: Long): List<String> {
        val endNanos = System.nanoTime() + forMs * NANOS_PER_MS
        val answers = ArrayList<String>()
        while (System.nanoTime() < endNanos) {
            answers += relay.get("/safe/${answers.size}")
            Thread.sleep(INTERVAL_MS)
        }
        return answers
    }

    @Nested
    inner class OneOfTwo {
        @Test
        fun `a server gets no more requests than the limit that it names, and the other server the rest`() {
            val limited = limited("a", "$LIMIT")
            relay.server("b") { request, socket -> FakeServer.reply(socket, request, "b") }
            val answers = sendFor(RUN_MS)
            assertEquals(answers.size, answers.count { it.startsWith("HTTP/1.1 200") })
            assertTrue(limited.requests.size <= ALLOWED, "${limited.requests.size} of ${answers.size} requests")
        }
    }

    private companion object {
        const val LIMIT = 4
        const val RUN_MS = 4_000L
        const val INTERVAL_MS = 25L
        const val NANOS_PER_MS = 1_000_000L

        /** Bound of the users for [RUN_MS]: one and a half times the limit, and five requests. */
        const val ALLOWED = 4 * LIMIT * 3 / 2 + 5
    }
}
