package gentiandale.relay.placement

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.ReadSpeed
import gentiandale.relay.HOME
import gentiandale.relay.SERVICE
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.backend.ReadSpeeds
import gentiandale.relay.routing.EngineRule
import gentiandale.relay.rowOf
import org.junit.jupiter.api.Nested
import kotlin.math.exp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class GenerationPlacementTest {
    private val placement = GenerationPlacement(HOME, Random(1))
    private val engine = EngineRule(places = 128, memoryTokens = 75_000, tokenBytes = 96_256, handleLifetimeMs = 500)
    private val need = GenerationMemory(promptTokens = 5_000, expected = 3_600, limit = 7_540)
    private val speeds = ReadSpeeds().apply {
        setShared(
            listOf(ReadSpeed(SERVICE, ServerKind.PREFILL, 45.0, 9), ReadSpeed(SERVICE, ServerKind.DECODE, 22.0, 9)),
        )
    }
    private val prefill = Backend(rowOf("p1", ServerKind.PREFILL), speeds)
    private val first = Backend(rowOf("d1", ServerKind.DECODE), speeds)
    private val second = Backend(rowOf("d2", ServerKind.DECODE), speeds)

    @Nested
    inner class Capacity {
        @Test
        fun `the decode server with the least load of all VMs is chosen`() {
            first.updatePeerLoad(AssignedLoad(first.row.id, running = 8, memoryTokens = 60_000))
            val plan = assertIs<GenerationPlan.Placement>(plan(prefill, first, second))
            assertEquals(second, plan.decode)
            assertEquals(prefill, plan.prefill)
        }

        @Test
        fun `a generation is not placed on servers whose memory is taken`() {
            listOf(first, second).forEach { it.updatePeerLoad(AssignedLoad(it.row.id, 10, 0, 70_000)) }
            assertEquals(GenerationPlan.NoCapacity, plan(prefill, first, second))
        }

        @Test
        fun `an empty server gets a generation larger than its memory, so that it rejects it itself`() {
            val large = GenerationMemory(90_000, 500, 1_000)
            assertIs<GenerationPlan.Placement>(placement.plan(listOf(prefill, first), emptySet(), large, engine, 0))
        }

        @Test
        fun `prompts wait while the backlog of prefill servers is too long`() {
            prefill.updatePeerLoad(AssignedLoad(prefill.row.id, running = 7, promptTokens = 35_000))
            first.updatePeerLoad(AssignedLoad(first.row.id, running = 2, promptTokens = 9_000))
            assertEquals(GenerationPlan.NoCapacity, plan(prefill, first))
        }
    }

    @Nested
    inner class DecodeServerPrefill {
        private val busyPrefill = Backend(rowOf("p2", ServerKind.PREFILL), speeds).also {
            it.updatePeerLoad(AssignedLoad(it.row.id, running = 7, promptTokens = 35_000))
        }

        @Test
        fun `a decode server reads only one prompt at a time`() {
            first.updatePeerLoad(AssignedLoad(first.row.id, running = 2, promptTokens = 5_000, memoryTokens = 9_000))
            second.updatePeerLoad(AssignedLoad(second.row.id, running = 3, memoryTokens = 20_000))
            assertEquals(second, assertIs<GenerationPlan.Placement>(plan(first, second)).decode)
            second.updatePeerLoad(AssignedLoad(second.row.id, running = 3, promptTokens = 5_000, memoryTokens = 20_000))
            assertEquals(GenerationPlan.NoCapacity, plan(first, second))
        }

        @Test
        fun `decode servers read a short prompt while prefill servers are overloaded, a long one waits`() {
            first.updatePeerLoad(AssignedLoad(first.row.id, running = 3, memoryTokens = 20_000))
            val short = GenerationMemory(promptTokens = 3_000, expected = 3_600, limit = 7_540)
            val plan = placement.plan(listOf(busyPrefill, first), emptySet(), short, engine, 1)
            assertNull(assertIs<GenerationPlan.Placement>(plan).prefill)
            val long = GenerationMemory(promptTokens = 4_000, expected = 3_600, limit = 7_540)
            assertEquals(
                GenerationPlan.NoCapacity,
                placement.plan(listOf(busyPrefill, first), emptySet(), long, engine, 1),
            )
        }

        @Test
        fun `a reservation no longer fits once other VMs have reserved the same capacity`() {
            val plan = assertIs<GenerationPlan.Placement>(plan(prefill, first))
            first.reserve(need)
            prefill.promptTokens += need.promptTokens
            assertTrue(placement.fitsWithPeers(plan, need.promptTokens, engine, 1))
            first.updatePeerLoad(AssignedLoad(first.row.id, running = 9, memoryTokens = 70_000))
            assertTrue(!placement.fitsWithPeers(plan, need.promptTokens, engine, 1))
            first.updatePeerLoad(AssignedLoad(first.row.id))
            prefill.updatePeerLoad(AssignedLoad(prefill.row.id, running = 5, promptTokens = 25_000))
            assertTrue(!placement.fitsWithPeers(plan, need.promptTokens, engine, 1))
        }
    }

    @Nested
    inner class UnavailableServers {
        @Test
        fun `a decode server reads the prompt itself when the prefill server is avoided`() {
            prefill.onFailure(0)
            assertNull(assertIs<GenerationPlan.Placement>(plan(prefill, first)).prefill)
        }

        @Test
        fun `a failed decode server is used if there is no other`() {
            first.onFailure(0)
            assertIs<GenerationPlan.Placement>(plan(prefill, first))
        }

        @Test
        fun `without a decode server no generation is placed`() {
            assertEquals(GenerationPlan.NoServer, plan(prefill))
        }

        @Test
        fun `an engine that changes its stage is avoided until it reports the new stage`() {
            prefill.pause(7_000)
            assertNull(assertIs<GenerationPlan.Placement>(plan(prefill, first)).prefill)
            prefill.update(rowOf("p1", ServerKind.DECODE, sequence = 2))
            assertTrue(!prefill.isAvoided(1))
        }
    }

    @Nested
    inner class Bursts {
        @Test
        fun `at most 2 answers of 10 bursts are preempted while they grow`() {
            val preempted = (1..10).sumOf { seed ->
                LoadSimulation(Random(seed)).run(perSecond = { if (it < 1_000) 40 else 2 })
            }
            assertTrue(preempted <= 2, "$preempted answers of 10 bursts were preempted")
        }

        @Test
        fun `lasting overload uses over 70 percent of the memory with at most 3 preempted answers`() {
            val simulation = LoadSimulation(Random(3))
            val preempted = simulation.run(perSecond = { 20 })
            assertTrue(preempted <= 3, "$preempted answers were preempted")
            assertTrue(simulation.meanMemoryUse > 0.7, "only ${simulation.meanMemoryUse} of the memory was used")
        }
    }

    /**
     * Simulates four decode servers whose answers grow by one event every 50 ms. The estimates of the callers differ
     * from the real lengths by log-normal factors.
     */
    private inner class LoadSimulation(private val random: Random) {
        private inner class Answer(val memory: GenerationMemory, val server: Backend, val length: Int)

        private val decodes = List(4) { Backend(rowOf("d$it", ServerKind.DECODE)) }
        private val running = ArrayList<Answer>()
        private var waiting = 0.0
        private var preempted = 0
        private val memoryUse = ArrayList<Double>()

        /** Mean share of the decode memory in use. */
        val meanMemoryUse get() = memoryUse.average()

        /** Simulates ten seconds with [perSecond] arrivals per second, and returns the number of preempted answers. */
        fun run(perSecond: (Long) -> Int): Int {
            for (now in 0L..10_000L step STEP_MS) {
                waiting += perSecond(now) * STEP_MS / 1_000.0
                while (waiting >= 1 && place(now)) waiting -= 1
                generateTokens()
                memoryUse += decodes.sumOf { it.load.memoryTokens } / 4.0 / engine.memoryTokens
            }
            return preempted
        }

        private fun place(now: Long): Boolean {
            val median = 3_600 * logNormalFactor(0.3)
            val need = GenerationMemory(5_200, (median * logNormalFactor(0.15)).toInt(), 7_540)
            val plan = placement.plan(decodes + prefill, emptySet(), need, engine, now)
            val decode = (plan as? GenerationPlan.Placement)?.decode ?: return false
            decode.reserve(need)
            running += Answer(need, decode, (median * logNormalFactor(0.25)).toInt().coerceAtMost(7_540))
            return true
        }

        private fun generateTokens() {
            running.forEach { it.memory.generatedTokens += TOKENS_PER_EVENT }
            end(running.filter { it.memory.generatedTokens >= it.length })
            decodes.filter { it.load.memoryTokens > engine.memoryTokens }.forEach { full ->
                preempted++
                end(listOf(running.last { it.server == full }))
            }
        }

        private fun end(answers: List<Answer>) {
            answers.forEach { it.server.release(it.memory) }
            running -= answers.toSet()
        }

        private fun logNormalFactor(spread: Double) = exp(spread * java.util.Random(random.nextLong()).nextGaussian())
    }

    private fun plan(vararg backends: Backend) =
        placement.plan(backends.toList(), emptySet<ServerId>(), need, engine, nowMs = 1)

    private companion object {
        const val STEP_MS = 50L
        const val TOKENS_PER_EVENT = 58
    }
}
