package gentiandale.relay.placement

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
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Plays a burst of prompts on decode engines that are busy with answers while the prefill engines have a backlog, and
 * checks the gaps that the callers of the running answers see. The engines read at the speeds of several deployments.
 */
class PrefillPauseTest {
    private class Engines(val prefillSpeed: Double) {
        val decodeSpeed = prefillSpeed / 2 * (1 - STEP_SHARE)
        val speeds = ReadSpeeds()
        val prefills = List(3) { Backend(rowOf("p$it", ServerKind.PREFILL, port = 100 + it), speeds) }
        val decodes = List(10) { Backend(rowOf("d$it", ServerKind.DECODE, port = 200 + it), speeds) }

        fun observe() {
            prefills.forEach { it.onPromptRead(3_000, (3_000 / prefillSpeed).toLong()) }
            decodes.forEach { it.onPromptRead(3_000, (3_000 / decodeSpeed).toLong()) }
        }
    }

    private class Outcome(val longestGapMs: Double, val readBeside: Int)

    /** Places a prompt every 40 ms; each one that a decode engine reads itself pauses the answers there. */
    private fun play(engines: Engines): Outcome {
        val random = Random(7)
        val placement = GenerationPlacement(HOME, random)
        val rule = EngineRule(places = 64, memoryTokens = 34_009, tokenBytes = 18_432, handleLifetimeMs = 500)
        engines.prefills.forEach { it.updatePeerLoad(AssignedLoad(it.row.id, 9, promptTokens = 60_000)) }
        engines.decodes.forEach { it.updatePeerLoad(AssignedLoad(it.row.id, running = 6, memoryTokens = 20_000)) }
        val freeAtMs = HashMap<Backend, Double>()
        var longestGapMs = 0.0
        var readBeside = 0
        repeat(60) { i ->
            val nowMs = i * 40.0
            engines.decodes.forEach { engine ->
                val isReading = (freeAtMs[engine] ?: 0.0) > nowMs
                val pending = if (isReading) 1_000L else 0L
                engine.updatePeerLoad(AssignedLoad(engine.row.id, 6, pending, 20_000))
            }
            val need = GenerationMemory(random.nextInt(600, 6_600), 500, 900)
            val plan = placement.plan(engines.prefills + engines.decodes, emptySet(), need, rule, nowMs.toLong())
            if (plan is GenerationPlan.Placement) {
                assertEquals(null, plan.prefill)
                val readMs = need.promptTokens / engines.decodeSpeed
                freeAtMs[plan.decode] = nowMs + readMs
                longestGapMs = maxOf(longestGapMs, readMs + USUAL_GAP_MS)
                readBeside++
            }
        }
        return Outcome(longestGapMs, readBeside)
    }

    @TestFactory
    fun `prompts read beside answers delay no event by more than callers accept`() =
        listOf(16.0, 33.3, 55.6, 90.0).map { speed ->
            DynamicTest.dynamicTest("prefill at $speed tokens/ms") {
                val outcome = play(Engines(speed).also { it.observe() })
                assertTrue(outcome.longestGapMs <= MAX_GAP_MS, "gap of ${outcome.longestGapMs} ms")
                assertTrue(outcome.readBeside > 0, "no prompt was read beside answers")
            }
        }

    @Test
    fun `the speed of faster engines would delay events, so that the check is effective`() {
        val engines = Engines(33.3)
        engines.speeds.setShared(listOf(ReadSpeed(SERVICE, ServerKind.DECODE, 36.0, 9)))
        assertTrue(play(engines).longestGapMs > MAX_GAP_MS)
    }

    @TestFactory
    fun `the same holds on a VM that knows the speeds from others only`() =
        listOf(16.0, 33.3, 55.6, 90.0).map { speed ->
            DynamicTest.dynamicTest("prefill at $speed tokens/ms") {
                val engines = Engines(speed)
                engines.speeds.setShared(listOf(ReadSpeed(SERVICE, ServerKind.DECODE, engines.decodeSpeed, 9)))
                assertTrue(play(engines).longestGapMs <= MAX_GAP_MS)
            }
        }

    private companion object {
        const val MAX_GAP_MS = 300.0

        /** Time between two events of an answer beside some others. */
        const val USUAL_GAP_MS = 76.0

        /** Share of the time that a decode engine spends on its answers while it reads a prompt. */
        const val STEP_SHARE = 0.1
    }
}
