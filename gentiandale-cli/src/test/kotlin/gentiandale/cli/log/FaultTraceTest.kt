package gentiandale.cli.log

import gentiandale.core.ServerKind
import gentiandale.core.SystemClock
import gentiandale.core.log.JsonEventLog
import gentiandale.relay.FakeServer
import gentiandale.relay.RelayFixture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Injects faults into requests at random and checks that the trace of each request shows its fault and server. */
class FaultTraceTest {
    private enum class Fault { NONE, BROKEN_STREAM, SLOW_PREFILL, ALL_FULL }

    private val lines = ConcurrentLinkedQueue<String>()
    private val faults = ConcurrentHashMap<String, Fault>()

    /** First server that a request with a fault reached; no prefill is slow if the prefill server was passed over. */
    private val faultSites = ConcurrentHashMap<String, String>()

    @Test
    fun `the trace of a request shows the injected fault`() = (1..SEEDS).forEach(::runAndCheck)

    private fun runAndCheck(seed: Int) {
        listOf(lines, faults.keys, faultSites.keys).forEach { it.clear() }
        runRequests(Random(seed))
        val logs = LogAnalysis(lines.asSequence())
        faults.forEach { (id, fault) -> check(logs.requestTrace(id), id, fault) }
        val injected = faults.filter { (id, fault) -> wasInjected(id, fault) }
        assertEquals(
            Fault.entries.toSet() - Fault.NONE,
            injected.values.toSet(),
            "seed $seed did not inject all faults",
        )
    }

    private fun wasInjected(id: String, fault: Fault): Boolean = when (fault) {
        Fault.SLOW_PREFILL -> faultSites[id] == "p"
        else -> faultSites[id] != null
    }

    private fun runRequests(random: Random) {
        val log = JsonEventLog("vm", 1, SystemClock) { lines += it }
        RelayFixture(log = log).use { relay ->
            relay.server("p", ServerKind.PREFILL) { request, socket ->
                val id = request.header("id").orEmpty()
                if (faults[id] == Fault.SLOW_PREFILL && faultSites.putIfAbsent(id, "p") == null) Thread.sleep(DELAY_MS)
                FakeServer.reply(socket, request, "h1")
            }
            listOf("d1", "d2", "d3").forEach { name ->
                relay.server(name, ServerKind.DECODE) { request, socket ->
                    val id = request.header("id").orEmpty()
                    val after = request.header("after")?.toInt() ?: 0
                    val fault = faults.getValue(id)
                    val isFirst = fault != Fault.NONE && faultSites.putIfAbsent(id, name) == null
                    when {
                        fault == Fault.ALL_FULL -> FakeServer.reject(socket, request)
                        fault == Fault.BROKEN_STREAM && isFirst -> FakeServer.breakOff(socket, request)
                        else -> FakeServer.stream(socket, request, after + 1..4)
                    }
                }
            }
            val callers = Executors.newFixedThreadPool(CALLERS)
            repeat(REQUESTS) { number ->
                faults["r$number"] = Fault.entries.random(random)
                callers.execute { relay.get("/stream/$number", id = "r$number") }
            }
            callers.shutdown()
            assertTrue(callers.awaitTermination(TIMEOUT_S, TimeUnit.SECONDS))
            awaitEnds()
        }
    }

    /** Waits for the last lines, since a caller has its answer before the relay logs the end of the request. */
    private fun awaitEnds() {
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S)
        while (lines.count { ENDED in it } < REQUESTS && System.nanoTime() < endNanos) Thread.sleep(1)
    }

    private fun check(trace: List<LogRecord>, id: String, fault: Fault) {
        val text = trace.joinToString("\n") { "${it.timeMs} ${it.event} ${it.detail()}" }
        val ended = trace.single { it.event == "relay/ended" }
        val failures = trace.filter { it.event == "relay/send-failed" }
        when (fault) {
            Fault.NONE -> assertEquals("answered", ended.text("outcome"), text)
            Fault.BROKEN_STREAM -> {
                val broken = failures.find { it.text("reason") in setOf("closed", "reset") }
                assertEquals(faultSites[id], broken?.text("server"), text)
            }
            Fault.SLOW_PREFILL -> if (wasInjected(id, fault)) {
                val prefill = trace.first { it.event == PLACED && it.text("step") == "prefill" }
                val next = trace.first { it.timeMs > prefill.timeMs && it.event in setOf(PLACED, "relay/send-failed") }
                assertEquals("p", prefill.text("server"), text)
                assertTrue(next.timeMs - prefill.timeMs >= MIN_PREFILL_WAIT_MS, text)
            }
            Fault.ALL_FULL -> {
                assertEquals("refused", ended.text("outcome"), text)
                assertTrue(failures.any { "request not executed: status 503" in it.text("reason").orEmpty() }, text)
            }
        }
    }

    private companion object {
        const val SEEDS = 3
        const val REQUESTS = 24
        const val CALLERS = 3
        const val TIMEOUT_S = 60L

        /** Longer than the relay waits for the prefill of a test prompt, so that it tries another server. */
        const val DELAY_MS = 400L

        /** Minimum time for which the relay waits for the prefill of a short prompt. */
        const val MIN_PREFILL_WAIT_MS = 140L
        const val PLACED = "relay/placed"
        const val ENDED = "\"event\":\"ended\""
    }
}
