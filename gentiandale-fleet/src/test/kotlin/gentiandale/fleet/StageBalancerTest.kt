package gentiandale.fleet

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServiceName
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class StageBalancerTest {
    private val balancer = StageBalancer(switchMs = 6_000)

    @Nested
    inner class IdleFleet {
        @Test
        fun `surplus prefill engines become decode engines while the fleet is idle`() {
            val change = assertNotNull(balancer.decide(fleet(prefills = 4, decodes = 2), 0))
            assertEquals(ServerKind.DECODE, change.stage)
            assertNull(balancer.decide(fleet(prefills = 4, decodes = 2), 1_000))
            assertNotNull(balancer.decide(fleet(prefills = 4, decodes = 2), 2_000))
        }

        @Test
        fun `two prefill engines of six are not surplus`() {
            assertNull(balancer.decide(fleet(prefills = 2, decodes = 4), 0))
        }
    }

    @Nested
    inner class LongAnswers {
        @Test
        fun `an idle prefill engine becomes a decode engine when decode memory is scarce`() {
            val change = firstChange(fleet(prefills = 2, decodes = 4, memory = 60_000))
            assertEquals(ServerKind.DECODE, change?.stage)
        }

        @Test
        fun `the only prefill engine never becomes a decode engine`() {
            assertNull(firstChange(fleet(prefills = 1, decodes = 5, memory = 70_000)))
        }

        @Test
        fun `busy prefill engines do not become decode engines`() {
            assertNull(firstChange(fleet(prefills = 2, decodes = 4, memory = 70_000, prompt = 9_000)))
        }
    }

    @Nested
    inner class LongPrompts {
        @Test
        fun `an idle decode engine becomes a prefill engine when the only one is always busy`() {
            val change = firstChange(fleet(prefills = 1, decodes = 5, memory = 9_000, prompt = 30_000))
            assertEquals(ServerKind.PREFILL, change?.stage)
        }

        @Test
        fun `decode engines do not change while their memory is needed`() {
            assertNull(firstChange(fleet(prefills = 1, decodes = 5, memory = 40_000, prompt = 30_000)))
        }
    }

    @Nested
    inner class LastPrefillEngineLost {
        @Test
        fun `a decode engine replaces it at once regardless of the decode load`() {
            val before = fleet(prefills = 2, decodes = 4, memory = 60_000)
            assertNotNull(firstChange(before))
            val change = assertNotNull(balancer.decide(fleet(prefills = 0, decodes = 4, memory = 70_000), 10_500))
            assertEquals(ServerKind.PREFILL, change.stage)
        }

        @Test
        fun `no second engine is ordered while the first one changes`() {
            val engines = fleet(prefills = 0, decodes = 5, memory = 1_000)
            assertNotNull(balancer.decide(engines, 0))
            assertNull((500L..7_000L step 500).firstNotNullOfOrNull { balancer.decide(engines, it) })
        }

        @Test
        fun `two remaining engines stay decode engines`() {
            assertNull(firstChange(fleet(prefills = 0, decodes = 2, memory = 9_000)))
        }
    }

    @Nested
    inner class ChangeInterval {
        @Test
        fun `the next change waits until the first one has taken effect`() {
            val engines = fleet(prefills = 4, decodes = 2, memory = 1_000)
            val first = assertNotNull(balancer.decide(engines, 0)).server.id
            val changed = engines.map {
                if (it.row.id ==
                    first
                ) {
                    it.copy(row = it.row.copy(kind = ServerKind.DECODE))
                } else {
                    it
                }
            }
            assertNull(balancer.decide(changed, 11_000))
            assertNotNull(balancer.decide(changed, 12_500))
        }
    }

    @Nested
    inner class Orders {
        private val sent = ArrayList<StageChange>()
        private val clock = gentiandale.core.ManualClock(1_000)
        private var lease: OrderLease? = OrderLease(gentiandale.core.FencingNumber(2))
        private var status: Int? = 202
        private val issuer = StageOrderIssuer(
            clock,
            gentiandale.core.log.EventLog.NONE,
            leaseMs = 3_000,
            currentLease = { lease },
            sender = { change, _, done -> sent += change.also { done(status) } },
            onAccepted = { _, _ -> },
        )

        @Test
        fun `a new leader sends no order before the lease of its predecessor has expired`() {
            run(2_500)
            assertEquals(0, sent.size)
            run(1_000)
            assertEquals(1, sent.size)
        }

        @Test
        fun `an engine is not ordered twice while it changes`() {
            run(12_000)
            assertEquals(sent.map { it.server.id }.distinct(), sent.map { it.server.id })
            assertEquals(1, sent.size)
        }

        @Test
        fun `a refused order is sent again`() {
            status = 409
            run(9_000)
            assertEquals(3, sent.size)
        }

        @Test
        fun `no order is sent without a lease, and a regained lease waits again`() {
            run(2_500)
            lease = null
            run(1_000)
            lease = OrderLease(gentiandale.core.FencingNumber(2))
            run(2_500)
            assertEquals(0, sent.size)
        }

        private fun run(ms: Long) {
            val end = clock.monotonicMs() + ms
            while (clock.monotonicMs() < end) {
                issuer.tick(fleet(prefills = 3, decodes = 3), switchMs = 6_000)
                clock.advance(500)
            }
        }
    }

    private fun firstChange(engines: List<EngineLoad>): StageChange? =
        (0L..10_000L step 500).firstNotNullOfOrNull { balancer.decide(engines, it) }

    private fun fleet(prefills: Int, decodes: Int, memory: Long = 0, prompt: Long = 0): List<EngineLoad> =
        List(prefills) { engine("p$it", ServerKind.PREFILL, AssignedLoad(ServerId("p$it"), promptTokens = prompt)) } +
            List(decodes) { engine("d$it", ServerKind.DECODE, AssignedLoad(ServerId("d$it"), memoryTokens = memory)) }

    private fun engine(id: String, kind: ServerKind, load: AssignedLoad) = EngineLoad(
        BackendRow(
            ServerId(id),
            Incarnation(1),
            1,
            ServiceName("e"),
            Address("10.0.0.1", 1),
            DataCentreId("a"),
            BackendState.READY,
            kind,
            128,
        ),
        load,
        memoryTokens = 75_000,
    )
}
