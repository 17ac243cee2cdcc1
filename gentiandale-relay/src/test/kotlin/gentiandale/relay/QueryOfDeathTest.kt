package gentiandale.relay

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.CrashId
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.RequestTrait
import gentiandale.relay.CrashingServer.Companion.parts
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests with a part of the prompt that crashes each engine that begins to answer them. */
class QueryOfDeathTest {
    private val relay = RelayFixture()
    private val engines = (1..ENGINES).map { CrashingServer(DOWN_MS) { request -> "deadly" in request.parts() } }

    @AfterEach
    fun close() {
        engines.forEach { it.close() }
        relay.close()
    }

    private fun start() = engines.forEachIndexed { index, engine ->
        relay.merge(rowOf("d$index", ServerKind.DECODE, engine.port))
    }

    private fun get(number: Int, vararg shared: String): String {
        val parts = (shared.toList() + "own$number").joinToString(",")
        return relay.get("/stream/$number", "parts: $parts\r\n", id = "r$number")
    }

    /** Sends requests with the deadly part one after the other, each when the engines are back. */
    private fun sendDeadly() = repeat(REQUESTS) {
        get(it, "common", "deadly")
        Thread.sleep(DOWN_MS)
    }

    private fun arrivalsWith(part: String) = engines.flatMap { it.arrivals }.count { part in it.parts() }

    @Nested
    inner class OneAfterTheOther {
        @Test
        fun `requests with a deadly part stop reaching engines after five crashes`() {
            start()
            sendDeadly()
            assertTrue(arrivalsWith("deadly") <= CRASHES + SENDS_AFTER, "${arrivalsWith("deadly")} sends")
        }
    }

    @Nested
    inner class BesideSoundRequests {
        @Test
        fun `sound requests with the same first part are still served`() {
            start()
            sendDeadly()
            val served = AtomicInteger()
            val callers = (1..REQUESTS).map { number ->
                Thread.sleep(ARRIVAL_INTERVAL_MS)
                thread {
                    val answer = get(REQUESTS + number, "common")
                    if (answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n")) served.incrementAndGet()
                }
            }
            callers.forEach { it.join() }
            assertTrue(served.get() >= REQUESTS / 2, "${served.get()} of $REQUESTS served")
        }

        @Test
        fun `a mix at the same time ends the crashes and serves the sound requests`() {
            start()
            val sound = AtomicInteger()
            val callers = (0 until 4 * REQUESTS).map { number ->
                Thread.sleep(ARRIVAL_INTERVAL_MS)
                thread {
                    val isDeadly = number % 3 == 0
                    val answer = if (isDeadly) get(number, "common", "deadly") else get(number, "common")
                    if (!isDeadly && answer.startsWith("HTTP/1.1 200")) sound.incrementAndGet()
                }
            }
            callers.forEach { it.join() }
            assertTrue(engines.sumOf { it.crashes } <= CRASHES + SENDS_AFTER, "${engines.map { it.crashes }} crashes")
            assertTrue(sound.get() >= REQUESTS, "${sound.get()} sound requests begun")
        }

        @Test
        fun `a crash that no request causes again excludes nothing`() {
            start()
            val plain = thread { get(1, "common", "fresh") }
            Thread.sleep(10)
            engines.forEach { if (it.arrivals.isNotEmpty()) it.close() }
            plain.join()
            (2..6).forEach { assertTrue(get(it, "common", "fresh").startsWith("HTTP/1.1 200")) }
            assertEquals(0, engines.sumOf { it.crashes })
        }
    }

    @Nested
    inner class Refusals {
        private fun learn() = relay.mergeCrashes(
            listOf(1, 2).map {
                val id = CrashId(ServerId("d$it"), Incarnation(1))
                CrashRecord(id, ageMs = it * 100L, suspects = setOf(listOf(RequestTrait("deadly"))))
            },
        )

        private fun assertRefused(answer: String) {
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer)
            assertTrue("retry-after" in answer.lowercase())
            assertEquals(0, arrivalsWith("deadly"))
        }

        @Test
        fun `evidence of other VMs refuses a request at once, before it reaches a server`() {
            start()
            learn()
            assertRefused(get(1, "common", "deadly"))
            assertTrue(get(2, "common").startsWith("HTTP/1.1 200"))
        }

        @Test
        fun `evidence refuses a request that is queued`() {
            start()
            (0 until ENGINES).forEach { relay.reportPeerLoad("d$it", memoryTokens = 10_000) }
            val answer = CompletableFuture.supplyAsync { get(1, "common", "deadly") }
            Thread.sleep(DOWN_MS)
            learn()
            assertRefused(answer.get(DOWN_MS, TimeUnit.MILLISECONDS))
        }
    }

    private companion object {
        const val ENGINES = 4
        const val DOWN_MS = 300L
        const val REQUESTS = 12
        const val ARRIVAL_INTERVAL_MS = 40L

        /** Bounds of the users: crashes in which the part may be found, and sends that may follow them. */
        const val CRASHES = 5
        const val SENDS_AFTER = 3
    }
}
