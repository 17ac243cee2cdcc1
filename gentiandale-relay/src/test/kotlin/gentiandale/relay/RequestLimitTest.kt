package gentiandale.relay

import gentiandale.core.Incarnation
import gentiandale.core.ManualClock
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.LimitStatement
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.ServerSocket
import kotlin.concurrent.thread
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

    @Nested
    inner class Silent {
        @Test
        fun `a call that its server does not answer goes to a limited one when a permit arrives`() {
            relay.server("b") { _, _ ->
                thread {
                    Thread.sleep(LATE_PERMIT_MS)
                    relay.issuesPermits = true
                }
                Thread.sleep(SILENCE_MS)
                false
            }
            relay.issuesPermits = false
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, "a") }
            relay.mergeLimits(listOf(LimitStatement(ServerId("a"), Incarnation(1), perSecond = 2.0)))
            val startNanos = System.nanoTime()
            val answer = relay.get("/safe/1")
            val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
            assertTrue(answer.startsWith("HTTP/1.1 200") && elapsedMs < SILENCE_MS / 2, "after $elapsedMs ms: $answer")
        }
    }

    @Nested
    inner class AllServers {
        @Test
        fun `calls beyond the limits are refused soon, with a time to retry, and the others are served`() {
            val servers = listOf("a", "b").map { limited(it, "$LIMIT") }
            relay.get("/safe/first")
            relay.get("/safe/second")
            val answers = sendFor(RUN_MS)
            val (served, refused) = answers.partition { it.startsWith("HTTP/1.1 200") }
            assertTrue(refused.all { it.startsWith("HTTP/1.1 503") && "retry-after" in it.lowercase() })
            assertTrue(servers.all { it.requests.size <= ALLOWED }, "${servers.map { it.requests.size }}")
            assertTrue(served.size >= LIMIT * RUN_MS / 1_000, "${served.size} of ${answers.size} served")
        }

        @Test
        fun `a call waits for a permit as long as it can still meet its target`() {
            limited("a", "$LIMIT")
            relay.get("/safe/first")
            relay.issuesPermits = false
            thread {
                Thread.sleep(PERMIT_DELAY_MS)
                relay.issuesPermits = true
            }
            assertTrue(relay.get("/safe/1").startsWith("HTTP/1.1 200"))
        }
    }

    @Nested
    inner class Tried {
        @Test
        fun `a call does not wait for permits of a server that it could not reach`() {
            val unusedPort = ServerSocket(0).use { it.localPort }
            relay.merge(rowOf("a", port = unusedPort))
            relay.mergeLimits(listOf(LimitStatement(ServerId("a"), Incarnation(1), perSecond = 2.0)))
            val startNanos = System.nanoTime()
            val answer = relay.get("/safe/1")
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer)
            val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
            assertTrue(elapsedMs < TARGET_MS / 2, "$elapsedMs ms")
        }
    }

    @Nested
    inner class Unreachable {
        @Test
        fun `a VM without a reply of a control VM keeps to its own share of the limit`() {
            val limited = limited("a", "$LIMIT")
            relay.get("/safe/first")
            relay.isIssuerReachable = false
            val answers = sendFor(RUN_MS)
            val served = answers.count { it.startsWith("HTTP/1.1 200") }
            assertTrue(served >= LIMIT, "$served served")
            assertTrue(limited.requests.size <= ALLOWED, "${limited.requests.size} requests")
        }
    }

    @Nested
    inner class End {
        @Volatile
        private var named = "limit: 1\r\n"

        private fun start() = relay.server("a") { request, socket ->
            FakeServer.reply(socket, request, "a", extra = named)
        }

        @Test
        fun `an answer that names no limit ends it, and the other VMs are told`() {
            start()
            relay.get("/safe/first")
            named = ""
            val endNanos = System.nanoTime() + RUN_MS * NANOS_PER_MS
            while (!relay.get("/safe/1").startsWith("HTTP/1.1 200") && System.nanoTime() < endNanos) Thread.sleep(50)
            repeat(20) {
                val answer = relay.get("/safe/$it")
                assertTrue(answer.startsWith("HTTP/1.1 200"), "call $it, limits so far ${relay.limits}: $answer")
            }
            assertEquals(listOf(1.0, null), relay.limits.map { it.perSecond })
        }

        @Test
        fun `the answer to a request of the millisecond in which the limit was named ends it`() {
            RelayFixture(clock = ManualClock()).use { relay ->
                relay.server("a") { request, socket -> FakeServer.reply(socket, request, "a", extra = named) }
                relay.get("/safe/first")
                named = ""
                assertTrue(relay.get("/safe/1").startsWith("HTTP/1.1 200"))
                assertEquals(listOf(1.0, null), relay.limits.map { it.perSecond })
            }
        }

        @Test
        fun `a new process of the server has no limit`() {
            val server = start()
            relay.get("/safe/first")
            relay.issuesPermits = false
            assertTrue(relay.get("/safe/1").startsWith("HTTP/1.1 503"))
            named = ""
            relay.merge(rowOf("a", port = server.port).copy(incarnation = Incarnation(2)))
            repeat(10) { assertTrue(relay.get("/safe/$it").startsWith("HTTP/1.1 200")) }
        }

        @Test
        fun `a value that is no number changes nothing`() {
            named = "limit: many\r\n"
            start()
            repeat(10) { assertTrue(relay.get("/safe/$it").startsWith("HTTP/1.1 200")) }
            assertEquals(emptyList(), relay.limits.map { it.perSecond })
        }
    }

    @Nested
    inner class HeardFromOthers {
        @Test
        fun `a limit that another VM has read holds before the first request`() {
            val server = relay.server("a") { request, socket -> FakeServer.reply(socket, request, "a") }
            relay.issuesPermits = false
            relay.mergeLimits(listOf(LimitStatement(ServerId("a"), Incarnation(1), perSecond = 2.0)))
            repeat(5) { assertTrue(relay.get("/safe/$it").startsWith("HTTP/1.1 503")) }
            assertEquals(0, server.requests.size)
        }
    }

    @Nested
    inner class Generations {
        @Test
        fun `prefills and streams keep to the limits of their servers`() {
            val prefill = relay.server("p", ServerKind.PREFILL) { request, socket ->
                FakeServer.reply(socket, request, "h1", extra = "limit: $LIMIT\r\n")
            }
            val decode = relay.server("d", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request, "limit: $LIMIT\r\n")
                FakeServer.chunk(socket, FakeServer.event(1))
                socket.getOutputStream().write("0\r\n\r\n".toByteArray())
                true
            }
            val endNanos = System.nanoTime() + RUN_MS * NANOS_PER_MS
            var served = 0
            val callers = (1..80).map { number ->
                Thread.sleep(INTERVAL_MS)
                thread { if (relay.get("/stream/$number").startsWith("HTTP/1.1 200")) served++ }
            }
            Thread.sleep(((endNanos - System.nanoTime()) / NANOS_PER_MS).coerceAtLeast(0))
            listOf(prefill, decode).forEach {
                assertTrue(it.requests.size <= ALLOWED, "${it.requests.size} requests")
            }
            callers.forEach { it.join() }
            assertTrue(served >= LIMIT, "$served served")
        }
    }

    private companion object {
        const val PERMIT_DELAY_MS = 150L

        /** After the time at which a call looks for another server. */
        const val LATE_PERMIT_MS = 300L

        /** Of a sound server; below the time limit of the route. */
        const val SILENCE_MS = 3_000L

        /** Target of the route, until which a call may wait for a permit. */
        const val TARGET_MS = 1_000L
        const val LIMIT = 4
        const val RUN_MS = 4_000L
        const val INTERVAL_MS = 25L
        const val NANOS_PER_MS = 1_000_000L

        /** Bound of the users for [RUN_MS]: one and a half times the limit, and five requests. */
        const val ALLOWED = 4 * LIMIT * 3 / 2 + 5
    }
}
