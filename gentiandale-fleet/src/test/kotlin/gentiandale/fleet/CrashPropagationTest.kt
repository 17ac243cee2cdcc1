package gentiandale.fleet

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.backend.CrashId
import gentiandale.core.backend.RequestTrait
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Propagation of what crashes engines. */
class CrashPropagationTest : VirtualFleet() {
    private val deadly = listOf("common", "deadly").map(::RequestTrait)

    private fun crash(number: Int) = CrashId(ServerId("d$number"), Incarnation(1))

    /** Delivers what was sent, and advances the clock so that the next crash counts as another one. */
    private fun passTime() {
        deliver()
        clock.advance(INTERVAL_MS)
    }

    /** Reports so many crashes that the suspects get no further trial. */
    private fun reportUntilFinal() = (1..4).forEach {
        entries[0].report(crash(it), deadly)
        passTime()
    }

    private fun refusing() = entries.map { it.refuses(deadly) }

    @Nested
    inner class Evidence {
        @Test
        fun `two crashes seen by two VMs exclude the requests on every VM without waiting for a tick`() {
            advance(2_000)
            entries[0].report(crash(1), deadly)
            passTime()
            entries[1].report(crash(2), deadly)
            deliver()
            assertEquals(listOf(true, true, true), refusing())
        }

        @Test
        fun `a part that one VM has seen answered is cleared on every VM`() {
            advance(2_000)
            listOf(1, 2).forEach {
                entries[0].report(crash(it), listOf(RequestTrait("common")))
                passTime()
            }
            assertEquals(listOf(true, true, true), entries.map { it.refuses(listOf(RequestTrait("common"))) })
            deliver()
            entries[2].clear(listOf(RequestTrait("common")))
            deliver()
            assertEquals(listOf(false, false, false), entries.map { it.refuses(listOf(RequestTrait("common"))) })
        }
    }

    @Nested
    inner class Trials {
        @Test
        fun `only one VM of several gives a suspect its trial`() {
            advance(2_000)
            listOf(1, 2).forEach {
                entries[0].report(crash(it), deadly)
                passTime()
            }
            clock.advance(1_000)
            assertEquals(listOf(false, false, false), refusing())
            entries[1].startTrial(deadly.last())
            deliver()
            assertEquals(listOf(true, true, true), refusing())
        }
    }

    @Nested
    inner class Losses {
        @Test
        fun `a VM that was partitioned learns of the crashes after the partition heals`() {
            advance(2_000)
            controls.forEach { cut += setOf(it, entries[2].id) }
            reportUntilFinal()
            advance(1_000)
            assertEquals(listOf(true, true, false), refusing())
            cut.clear()
            advance(2_500)
            assertEquals(listOf(true, true, true), refusing())
        }

        @Test
        fun `a VM that has restarted learns of the crashes with its first subscription`() {
            advance(2_000)
            reportUntilFinal()
            advance(3_000)
            restartEntry(2)
            advance(1_000)
            assertEquals(listOf(true, true, true), refusing())
        }

        @Test
        fun `crashes survive the loss of all control VMs, and reach a VM that restarts after it`() {
            advance(2_000)
            reportUntilFinal()
            advance(1_000)
            controls.forEach { hubs[it] = newHub(it) }
            advance(3_000)
            restartEntry(2)
            advance(3_000)
            assertEquals(listOf(true, true, true), refusing())
        }

        @Test
        fun `without crashes nothing is sent about them`() {
            advance(10_000)
            assertEquals(0, sent.count { it is FleetMessage.Crashes })
            entries[0].report(crash(1), deadly)
            advance(10_000)
            val reports = sent.count { it is FleetMessage.Crashes }
            assertEquals(true, reports <= controls.size * (1 + entries.size), "$reports messages")
        }
    }

    private fun restartEntry(index: Int) {
        entries[index] = newEntry(entries[index].id)
    }

    private companion object {
        const val INTERVAL_MS = 100L
    }
}
