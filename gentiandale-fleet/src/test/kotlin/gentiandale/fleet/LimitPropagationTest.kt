package gentiandale.fleet

import gentiandale.core.Incarnation
import gentiandale.core.VmId
import gentiandale.core.backend.LimitStatement
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Propagation of the request limits that servers name, and issue of permits under them. */
class LimitPropagationTest : VirtualFleet() {
    private fun limit(perSecond: Double?) = LimitStatement(SERVER, Incarnation(1), perSecond)

    private fun known() = entries.map { it.limits[SERVER] }

    @Nested
    inner class Statements {
        @Test
        fun `a limit that one VM has read reaches every VM without waiting for a tick, and so does its end`() {
            advance(2_000)
            entries[0].subscriber.reportLimit(limit(4.0))
            deliver()
            assertEquals(listOf(null, 4.0, 4.0), known())
            clock.advance(100)
            entries[1].subscriber.reportLimit(limit(null))
            deliver()
            assertEquals(listOf(null, 4.0, null), known())
        }

        @Test
        fun `a VM that has restarted learns the limit soon`() {
            advance(2_000)
            entries[0].subscriber.reportLimit(limit(4.0))
            advance(3_000)
            entries[2] = newEntry(entries[2].id)
            advance(1_000)
            assertEquals(4.0, entries[2].limits[SERVER])
        }

        @Test
        fun `without limits nothing is sent about them`() {
            advance(10_000)
            assertEquals(0, sent.count { it is FleetMessage.Limits || it is FleetMessage.PermitRequest })
        }
    }

    @Nested
    inner class Permits {
        private fun askAll(forMs: Long): Int {
            entries.forEach { it.permits = 0 }
            repeat((forMs / ASK_INTERVAL_MS).toInt()) {
                entries.forEach { it.subscriber.requestPermits(limit(4.0), 4) }
                advance(ASK_INTERVAL_MS)
            }
            return entries.sumOf { it.permits }
        }

        @Test
        fun `all VMs together get as many as the limit allows`() {
            advance(2_000)
            val issued = askAll(10_000)
            assertTrue(issued in 36..43, "$issued permits in 10 s")
        }

        @Test
        fun `the loss of the control VM that issues them does not double them`() {
            advance(2_000)
            askAll(2_000)
            val issuer = controls.min()
            (entries.map { it.id } + controls).forEach { cut += setOf(issuer, it) }
            val issued = askAll(10_000)
            assertTrue(issued in 25..43, "$issued permits in 10 s")
        }
    }

    @Nested
    inner class PartialCuts {
        /** Lets all VMs ask for 10 s while the links between [cuts] are cut; returns the permits of each. */
        private fun issuedWithout(vararg cuts: Pair<VmId, VmId>): List<Int> {
            advance(2_000)
            cuts.forEach { cut += setOf(it.first, it.second) }
            advance(4_000)
            entries.forEach { it.permits = 0 }
            repeat(10_000 / ASK_INTERVAL_MS.toInt()) {
                entries.forEach { it.subscriber.requestPermits(limit(4.0), 4) }
                advance(ASK_INTERVAL_MS)
            }
            return entries.map { it.permits }
        }

        private fun assertShared(issued: List<Int>) {
            assertTrue(issued.sum() in 36..43, "$issued permits in 10 s")
            assertTrue(issued.all { it >= 10 }, "$issued permits in 10 s")
        }

        @Test
        fun `a VM that does not reach the issuer gets its permits through another control VM`() =
            assertShared(issuedWithout(entries[0].id to controls[0]))

        @Test
        fun `VMs that reach different control VMs get permits of one issuer, also by several of them`() = assertShared(
            issuedWithout(
                entries[0].id to controls[0],
                entries[1].id to controls[0],
                entries[1].id to controls[1],
                controls[2] to controls[0],
            ),
        )
    }

    private companion object {
        const val ASK_INTERVAL_MS = 200L
    }
}
