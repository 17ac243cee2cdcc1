package gentiandale.standin

import gentiandale.core.ServerKind
import gentiandale.core.engine.EnginePaths
import gentiandale.standin.engine.AnswerText
import gentiandale.standin.fault.Fault
import gentiandale.standin.fault.FaultInjector
import gentiandale.standin.fault.FaultPlan
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class EngineStandinTest : StandinFixture() {
    private val prompt = "Summarise the inspection of tower 4."
    private val slow = FAST.copy(tokenMs = TIMEOUT_MS.toDouble())

    @Nested
    inner class Answers {
        @Test
        fun `a decode fetches the KV cache and streams the complete answer`() {
            val prefill = engine(ServerKind.PREFILL)
            val decode = engine(ServerKind.DECODE)
            prefill(prefill, prompt)
            val events = decode(decode, prefill, prompt, tokens = 5)
            assertComplete(events, 5)
            assertEquals(AnswerText.full(prompt, 5), events.joinToString("") { it.text })
            assertEquals(emptyList(), report(prefill).kv)
        }

        @Test
        fun `a resumed decode starts at the requested token index`() {
            val prefill = engine(ServerKind.PREFILL)
            prefill(prefill, prompt)
            val events = decode(engine(ServerKind.DECODE), prefill, prompt, tokens = 5, first = 3)
            assertEquals(listOf(3, 4, 5), events.map { it.index })
        }

        @Test
        fun `an expired KV cache fails the decode and counts as wasted prefill`() {
            val prefill = engine(ServerKind.PREFILL, speeds = FAST.copy(kvLifetimeMs = 1))
            val reply = prefill(prefill, prompt)
            await("The KV cache did not expire.") { report(prefill).kv.isEmpty() }
            val answer = post(engine(ServerKind.DECODE), EnginePaths.DECODE, decodeBody(prefill, prompt, 5))
            assertEquals(410, answer.status().code())
            assertEquals(reply.promptTokens.toLong(), report(prefill).prefillTokensWasted)
        }

        @Test
        fun `a cached prefix is not prefilled again and its blocks are published`() {
            val prefill = engine(ServerKind.PREFILL)
            prefill(prefill, prompt)
            assertEquals(8, prefill(prefill, prompt, request = "r2").cachedTokens)
            await("The VM did not receive exactly one cache event.") { vm.cacheEvents.size == 1 }
        }

        @Test
        fun `a full engine rejects a request instead of queueing it`() {
            val prefill = engine(ServerKind.PREFILL, places = 1, speeds = FAST.copy(prefillTokensPerSecond = 0.1))
            Thread { runCatching { prefillResponse(prefill, prompt) } }.apply { isDaemon = true }.start()
            await("The first prefill did not occupy the place.") { report(prefill).held.size == 1 }
            assertEquals(429, prefillResponse(prefill, prompt, request = "r2").status().code())
        }
    }

    @Nested
    inner class Cancel {
        private fun running(vararg faults: Fault) = engine(ServerKind.DECODE, speeds = slow, faults = faults).also {
            val prefill = engine(ServerKind.PREFILL)
            prefill(prefill, prompt)
            decodeInBackground(it, decodeBody(prefill, prompt, 5))
            await("The decode did not occupy a place.") { report(it).held.size == 1 }
        }

        @Test
        fun `frees the place and the memory blocks`() {
            val decode = running()
            cancel(decode)
            await("Place or memory was not freed.") { report(decode).run { held.isEmpty() && heldBlocks == 0 } }
        }

        @Test
        fun `leaves the request running when the ignored-cancel fault is set`() {
            val decode = running(Fault.IGNORED_CANCEL)
            cancel(decode)
            assertEquals(1, report(decode).held.size)
        }
    }

    @Nested
    inner class StreamFaults {
        private fun eventsWith(fault: Fault) = engine(ServerKind.PREFILL).let {
            prefill(it, prompt)
            decode(engine(ServerKind.DECODE, faults = arrayOf(fault)), it, prompt, tokens = 6)
        }

        @Test
        fun `send one event twice`() {
            assertEquals(8, eventsWith(Fault.DOUBLED).size)
        }

        @Test
        fun `put a foreign request id into one event`() {
            assertEquals(1, eventsWith(Fault.FOREIGN).count { it.request.value != "r1" })
        }

        @Test
        fun `close the connection before the answer is complete`() {
            assertFails { eventsWith(Fault.CUT) }
        }

        @Test
        fun `can be replaced at run time`() {
            val prefill = engine(ServerKind.PREFILL)
            post(prefill, "/standin/faults", """{"seed":1,"probabilities":{"foreign":1.0}}""")
            assertNotEquals("r1", prefill(prefill, prompt).request.value)
            assertEquals(400, post(prefill, "/standin/faults", """{"probabilities":{"x":1}}""").status().code())
        }

        @Test
        fun `are deterministic for a seed`() {
            fun injected(seed: Long) = FaultInjector(FaultPlan(seed, mapOf(Fault.CUT to 0.3))).let { faults ->
                (0 until 1_000).filter { faults.shouldInject(Fault.CUT, "r$it-1") }
            }
            assertEquals(injected(1), injected(1))
            assertNotEquals(injected(1), injected(2))
            assertTrue(injected(1).size in 200..400, "${injected(1).size} of 1000 injected")
        }
    }

    @Nested
    inner class Orders {
        @Test
        fun `with an outdated fencing token are rejected by an engine that checks fencing`() {
            val engine = engine(ServerKind.DECODE, checksFencing = true)
            assertEquals(listOf(200, 200, 409), listOf(2L, 3L, 2L).map { order(engine, it) })
            assertEquals(listOf(true, true, false), report(engine).orders.map { it.taken })
        }

        @Test
        fun `with an outdated fencing token are carried out without the check or with the fault`() {
            val unchecked = engine(ServerKind.DECODE)
            val faulty = engine(ServerKind.DECODE, checksFencing = true, faults = arrayOf(Fault.IGNORED_FENCING))
            listOf(unchecked, faulty).forEach { engine ->
                assertEquals(listOf(200, 200), listOf(3L, 2L).map { order(engine, it) })
            }
        }

        @Test
        fun `change the announced facts`() {
            val engine = engine(ServerKind.DECODE)
            order(engine, 1)
            await("The new version was not announced.") { vm.announcements.lastOrNull()?.facts?.version == "v1" }
        }
    }
}
