package gentiandale.fleet

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.LimitStatement
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PermitIssuerTest {
    private var issuer = PermitIssuer()
    private val vms = List(94) { VmId("10.0.0.$it") }

    private fun limit(perSecond: Double, incarnation: Long = 1) =
        LimitStatement(ServerId("s"), Incarnation(incarnation), perSecond)

    /** Lets [asking] VMs ask every 200 ms until [untilMs], and returns the times of the permits of each VM. */
    private fun run(asking: List<VmId>, perSecond: Double, untilMs: Long, fromMs: Long = 0): Map<VmId, List<Long>> {
        val issued = HashMap<VmId, ArrayList<Long>>()
        for (now in fromMs until untilMs step 10) {
            if (now % 200 == 0L) asking.forEach { issuer.request(listOf(it), limit(perSecond), 16, now) }
            issuer.issue(now).forEach { permits ->
                repeat(permits.count) { issued.getOrPut(permits.vm) { ArrayList() } += now }
            }
        }
        return issued
    }

    private fun peak(times: List<Long>) = times.maxOf { from -> times.count { it in from until from + 4_000 } }

    @Nested
    inner class Rate {
        @Test
        fun `all VMs together get no more permits than the limit, be it below their number or above`() {
            listOf(3.8, 20.0, 500.0).forEach { perSecond ->
                issuer = PermitIssuer()
                val issued = run(vms, perSecond, untilMs = 12_000).values.flatten()
                assertTrue(peak(issued) <= 4.3 * perSecond + 2, "${peak(issued)} permits in 4 s at $perSecond a second")
                assertTrue(issued.size >= 11 * perSecond, "${issued.size} permits at $perSecond a second")
            }
        }

        @Test
        fun `a pause is not followed by a burst`() {
            run(vms, perSecond = 4.0, untilMs = 1_000)
            val after = run(vms, perSecond = 4.0, untilMs = 31_000, fromMs = 30_000).values.flatten()
            assertTrue(after.size <= 6, "${after.size} permits in a second")
        }

        @Test
        fun `a limit of zero leaves a trial request`() {
            val issued = run(vms.take(9), perSecond = 0.0, untilMs = 20_000).values.flatten()
            assertTrue(issued.size in 3..6, "${issued.size} permits in 20 s")
        }
    }

    @Nested
    inner class Turns {
        @Test
        fun `VMs that ask get the same share`() {
            val shares = run(vms.take(9), perSecond = 4.0, untilMs = 45_000).values.map { it.size }
            assertEquals(9, shares.size)
            assertTrue(shares.max() - shares.min() <= 3, "$shares")
        }

        @Test
        fun `the whole limit goes to the only VM that asks`() {
            val issued = run(vms.take(1), perSecond = 20.0, untilMs = 10_000).values.flatten()
            assertTrue(issued.size >= 180, "${issued.size} permits in 10 s")
        }

        @Test
        fun `a request that is not repeated gets nothing later`() {
            issuer.request(listOf(vms[0]), limit(1.0), 1, 0)
            issuer.request(listOf(vms[1]), limit(1.0), 1, 0)
            assertEquals(listOf(vms[0]), issuer.issue(0).map { it.vm })
            assertEquals(emptyList(), issuer.issue(1_000))
        }
    }

    @Nested
    inner class Restarts {
        @Test
        fun `a request under the limit of an earlier process of the server gets nothing`() {
            issuer.request(listOf(vms[0]), limit(4.0, incarnation = 2), 1, 0)
            issuer.request(listOf(vms[1]), limit(9.0, incarnation = 1), 1, 0)
            assertEquals(listOf(vms[0]), issuer.issue(0).map { it.vm })
        }
    }
}
