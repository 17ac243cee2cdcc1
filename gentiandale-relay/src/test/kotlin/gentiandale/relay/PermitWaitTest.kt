package gentiandale.relay

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.LimitStatement
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PermitWaitTest {
    private val relay = RelayFixture(maxConnections = MAX_CONNECTIONS)
    private val isOver = CountDownLatch(1)

    @AfterEach
    fun close() {
        isOver.countDown()
        relay.close()
    }

    /** Starts the server `a` and uses all connections to it. */
    private fun startFullServer(): FakeServer {
        val held = CountDownLatch(MAX_CONNECTIONS)
        val server = relay.server("a") { _, _ ->
            held.countDown()
            isOver.await()
            false
        }
        repeat(MAX_CONNECTIONS) { number ->
            thread(isDaemon = true) { runCatching { relay.get("/once/1", id = "h$number") } }
        }
        assertTrue(held.await(TIMEOUT_MS, TimeUnit.MILLISECONDS))
        return server
    }

    @Nested
    inner class AtMostOnce {
        @Test
        fun `a call that waits again after a server had no connection left runs once`() {
            val full = startFullServer()
            relay.merge(rowOf("a", port = full.port, state = BackendState.LEAVING, sequence = 2))
            val runs = AtomicInteger()
            relay.server("b") { request, socket ->
                runs.incrementAndGet()
                Thread.sleep(RUN_MS)
                FakeServer.reply(socket, request, "ran")
            }
            relay.issuesPermits = false
            relay.mergeLimits(listOf(LimitStatement(ServerId("b"), Incarnation(1), perSecond = 2.0)))
            val answer = CompletableFuture.supplyAsync { relay.get("/once/2") }
            Thread.sleep(SETTLE_MS)
            relay.merge(rowOf("a", port = full.port, sequence = 3))
            Thread.sleep(RECHECK_MS)
            relay.grantPermits("b", 3)
            assertTrue(answer.get().endsWith("ran"))
            assertEquals(1, runs.get())
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 3
        const val TIMEOUT_MS = 5_000L

        /** Longer than the interval at which a waiting call looks for permits. */
        const val RECHECK_MS = 120L
        const val RUN_MS = 300L

        /** Time for a call to reach the relay. */
        const val SETTLE_MS = 30L
    }
}
