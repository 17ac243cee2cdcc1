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

/** Requests with faults put in at random, and whether the story of each tells the fault and where it was. */
class FaultStoryTest {
    private enum class Fault { NONE, BROKEN_STREAM, SLOW_PREFILL, ALL_FULL }

    private val lines = ConcurrentLinkedQueue<String>()
    private val faults = ConcurrentHashMap<String, Fault>()

    /** Server at which the fault of a request has struck first; a server that is passed over strikes nobody. */
    private val places = ConcurrentHashMap<String, String>()

    @Test
    fun `the story of a request names the fault that was put in`() = (1..SEEDS).forEach(::playAndCheck)

    private fun playAndCheck(seed: Int) {
        listOf(lines, faults.keys, places.keys).forEach { it.clear() }
        play(Random(seed))
        val story = LogStory(lines.asSequence())
        faults.forEach { (id, fault) -> check(story.ofRequest(id), id, fault) }
        val struck = faults.filter { (id, fault) -> hasStruck(id, fault) }
        assertEquals(Fault.entries.toSet() - Fault.NONE, struck.values.toSet(), "seed $seed leaves out a fault")
    }

    private fun hasStruck(id: String, fault: Fault): Boolean = when (fault) {
        Fault.SLOW_PREFILL -> places[id] == "p"
        else -> places[id] != null
    }

    private fun play(random: Random) {
        val log = JsonEventLog("vm", 1, SystemClock) { lines += it }
        RelayFixture(log = log).use { relay ->
            relay.server("p", ServerKind.PREFILL) { request, socket ->
                val id = request.header("id").orEmpty()
                if (faults[id] == Fault.SLOW_PREFILL && places.putIfAbsent(id, "p") == null) Thread.sleep(SLOW_MS)
                FakeServer.reply(socket, request, "h1")
            }
            listOf("d1", "d2", "d3").forEach { name ->
                relay.server(name, ServerKind.DECODE) { request, socket ->
                    val id = request.header("id").orEmpty()
                    val after = request.header("after")?.toInt() ?: 0
                    val fault = faults.getValue(id)
                    val isFirst = fault != Fault.NONE && places.putIfAbsent(id, name) == null
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
            assertTrue(callers.awaitTermination(LIMIT_S, TimeUnit.SECONDS))
        }
    }

    private fun check(story: List<LogRecord>, id: String, fault: Fault) {
        val text = story.joinToString("\n") { "${it.timeMs} ${it.event} ${it.detail()}" }
        val ended = story.single { it.event == "relay/ended" }
        val failures = story.filter { it.event == "relay/send-failed" }
        when (fault) {
            Fault.NONE -> assertEquals("answered", ended.text("outcome"), text)
            Fault.BROKEN_STREAM -> {
                val broken = failures.find { it.text("reason") in setOf("closed", "reset") }
                assertEquals(places[id], broken?.text("server"), text)
            }
            Fault.SLOW_PREFILL -> if (hasStruck(id, fault)) {
                val asked = story.first { it.event == PLACED && it.text("step") == "prefill" }
                val next = story.first { it.timeMs > asked.timeMs && it.event in setOf(PLACED, "relay/send-failed") }
                assertEquals("p", asked.text("server"), text)
                assertTrue(next.timeMs - asked.timeMs >= LEAST_SLOW_MS, text)
            }
            Fault.ALL_FULL -> {
                assertEquals("refused", ended.text("outcome"), text)
                assertTrue(failures.any { "not executed: 503" in it.text("reason").orEmpty() }, text)
            }
        }
    }

    private companion object {
        const val SEEDS = 3
        const val REQUESTS = 24
        const val CALLERS = 3
        const val LIMIT_S = 60L

        /** Longer than the relay waits for a prompt of the test, so that it looks elsewhere. */
        const val SLOW_MS = 400L

        /** Patience of the relay for a short prompt. */
        const val LEAST_SLOW_MS = 140L
        const val PLACED = "relay/placed"
    }
}
