package gentiandale.fleet

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServerLoad
import gentiandale.core.backend.ServiceName
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class StageBalanceTest {
    private val balance = StageBalance(switchMs = 6_000)

    @Nested
    inner class AtRest {
        @Test
        fun `all prefill engines of six but two become decode engines before there is any load`() {
            val change = assertNotNull(balance.decide(fleet(prefills = 4, decodes = 2), 0))
            assertEquals(ServerKind.DECODE, change.stage)
            assertNull(balance.decide(fleet(prefills = 4, decodes = 2), 1_000))
            assertNotNull(balance.decide(fleet(prefills = 4, decodes = 2), 2_000))
        }

        @Test
        fun `two prefill engines of six stay`() {
            assertNull(balance.decide(fleet(prefills = 2, decodes = 4), 0))
        }
    }

    @Nested
    inner class LongAnswers {
        @Test
        fun `a resting prefill engine helps when decode memory is taken`() {
            val change = feed(fleet(prefills = 2, decodes = 4, memory = 60_000))
            assertEquals(ServerKind.DECODE, change?.stage)
        }

        @Test
        fun `the only prefill engine stays`() {
            assertNull(feed(fleet(prefills = 1, decodes = 5, memory = 70_000)))
        }

        @Test
        fun `busy prefill engines stay`() {
            assertNull(feed(fleet(prefills = 2, decodes = 4, memory = 70_000, prompt = 9_000)))
        }
    }

    @Nested
    inner class LongPrompts {
        @Test
        fun `a resting decode engine becomes a prefill engine when the only one is always busy`() {
            val change = feed(fleet(prefills = 1, decodes = 5, memory = 9_000, prompt = 30_000))
            assertEquals(ServerKind.PREFILL, change?.stage)
        }

        @Test
        fun `decode engines stay when they are needed`() {
            assertNull(feed(fleet(prefills = 1, decodes = 5, memory = 40_000, prompt = 30_000)))
        }
    }

    @Nested
    inner class LastPrefillEngineLost {
        @Test
        fun `a decode engine takes its place at once however full the others are`() {
            val before = fleet(prefills = 2, decodes = 4, memory = 60_000)
            assertNotNull(feed(before))
            val change = assertNotNull(balance.decide(fleet(prefills = 0, decodes = 4, memory = 70_000), 10_500))
            assertEquals(ServerKind.PREFILL, change.stage)
        }

        @Test
        fun `no second engine is told while the first one changes`() {
            val engines = fleet(prefills = 0, decodes = 5, memory = 1_000)
            assertNotNull(balance.decide(engines, 0))
            assertNull((500L..7_000L step 500).firstNotNullOfOrNull { balance.decide(engines, it) })
        }

        @Test
        fun `two engines that are left go on decoding`() {
            assertNull(feed(fleet(prefills = 0, decodes = 2, memory = 9_000)))
        }
    }

    @Nested
    inner class Pace {
        @Test
        fun `the next change waits until the effect of the first can be seen`() {
            val engines = fleet(prefills = 4, decodes = 2, memory = 1_000)
            val first = assertNotNull(balance.decide(engines, 0)).server.id
            val changed = engines.map {
                if (it.row.id ==
                    first
                ) {
                    it.copy(row = it.row.copy(kind = ServerKind.DECODE))
                } else {
                    it
                }
            }
            assertNull(balance.decide(changed, 11_000))
            assertNotNull(balance.decide(changed, 12_500))
        }
    }

    @Nested
    inner class Orders {
        private val sent = ArrayList<StageChange>()
        private val clock = gentiandale.core.ManualClock(1_000)
        private var right: OrderRight? = OrderRight(gentiandale.core.FencingNumber(2))
        private var status: Int? = 202
        private val giver = StageOrders(
            clock,
            gentiandale.core.log.EventLog.NONE,
            leaseMs = 3_000,
            right = { right },
            sender = { change, _, done -> sent += change.also { done(status) } },
            onAccepted = { _, _ -> },
        )

        @Test
        fun `a new leader gives its first order once the lease of the one before is over`() {
            run(2_500)
            assertEquals(0, sent.size)
            run(1_000)
            assertEquals(1, sent.size)
        }

        @Test
        fun `an engine is not told twice while it changes`() {
            run(12_000)
            assertEquals(sent.map { it.server.id }.distinct(), sent.map { it.server.id })
            assertEquals(1, sent.size)
        }

        @Test
        fun `an order that was refused is given again`() {
            status = 409
            run(9_000)
            assertEquals(3, sent.size)
        }

        @Test
        fun `without the right nothing is ordered, and a right that comes back waits again`() {
            run(2_500)
            right = null
            run(1_000)
            right = OrderRight(gentiandale.core.FencingNumber(2))
            run(2_500)
            assertEquals(0, sent.size)
        }

        private fun run(ms: Long) {
            val end = clock.monotonicMs() + ms
            while (clock.monotonicMs() < end) {
                giver.tick(fleet(prefills = 3, decodes = 3), switchMs = 6_000)
                clock.advance(500)
            }
        }
    }

    private fun feed(engines: List<EngineUse>): StageChange? =
        (0L..10_000L step 500).firstNotNullOfOrNull { balance.decide(engines, it) }

    private fun fleet(prefills: Int, decodes: Int, memory: Long = 0, prompt: Long = 0): List<EngineUse> =
        List(prefills) { engine("p$it", ServerKind.PREFILL, ServerLoad(ServerId("p$it"), promptTokens = prompt)) } +
            List(decodes) { engine("d$it", ServerKind.DECODE, ServerLoad(ServerId("d$it"), memoryTokens = memory)) }

    private fun engine(id: String, kind: ServerKind, load: ServerLoad) = EngineUse(
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
