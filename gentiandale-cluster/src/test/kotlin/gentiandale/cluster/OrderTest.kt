package gentiandale.cluster

import gentiandale.cluster.order.OrderSender
import gentiandale.cluster.order.OrderTimes
import gentiandale.cluster.order.PlacementController
import gentiandale.cluster.order.PlacementView
import gentiandale.cluster.order.PlannedOrder
import gentiandale.cluster.order.WeightLoadLimiter
import gentiandale.cluster.order.WeightLoadLimits
import gentiandale.cluster.order.planPlacement
import gentiandale.core.Address
import gentiandale.core.Clock
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.KnownVm
import gentiandale.core.ManualClock
import gentiandale.core.ModelId
import gentiandale.core.PoolRecord
import gentiandale.core.RegionId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VersionRecord
import gentiandale.core.VmId
import gentiandale.core.engine.EngineOrder
import gentiandale.state.LocalStore
import gentiandale.state.ReplicatedStore
import gentiandale.state.StoreCommand
import gentiandale.state.SubmitOutcome
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class OrderTest {
    private val model = ModelId("chat-small")
    private val dataCentre = DataCentreId("dc-0")
    private val pool = PoolRecord("p", dataCentre, model, "v2", prefill = 1, decode = 2)
    private val records = listOf(pool, VersionRecord("v2", model, weightBytes = 2_000_000_000))

    private fun engine(i: Int, kind: ServerKind, version: String = "v2", checks: Boolean = false) = ServerFacts(
        server = ServerId("s-$i"),
        incarnation = Incarnation(1),
        address = Address("10.1.0.1", 7_000 + i),
        dataCentre = dataCentre,
        kind = kind,
        model = model,
        version = version,
        places = 20,
        checksFencing = checks,
    )

    private fun vm(name: String) =
        KnownVm(VmId(name), dataCentre, RegionId("r"), Address("10.0.0.1", 1), Address("10.0.0.1", 2))

    @Nested
    inner class Plan {
        @Test
        fun `asks for nothing when all pools are served`() {
            val servers =
                listOf(engine(1, ServerKind.PREFILL), engine(2, ServerKind.DECODE), engine(3, ServerKind.DECODE))
            assertEquals(emptyList(), planPlacement(records, servers))
        }

        @Test
        fun `changes a role before it loads weights and leaves alone what is right`() {
            val servers = listOf(
                engine(1, ServerKind.PREFILL),
                engine(2, ServerKind.PREFILL),
                engine(3, ServerKind.DECODE, version = "v1"),
            )
            val orders = planPlacement(records, servers).associateBy { it.server.value }
            assertEquals(setOf("s-2", "s-3"), orders.keys)
            assertEquals(0, orders.getValue("s-2").loadBytes)
            assertEquals(2_000_000_000, orders.getValue("s-3").loadBytes)
            assertTrue(orders.values.all { it.kind == ServerKind.DECODE && it.version == "v2" })
        }

        @Test
        fun `gives no order to a server that leaves`() {
            val servers = listOf(engine(1, ServerKind.PREFILL, version = "v1").copy(leaving = true))
            assertEquals(emptyList(), planPlacement(records, servers))
        }
    }

    @Nested
    inner class Budget {
        private fun load(i: Int) =
            PlannedOrder(ServerId("s-$i"), ServerKind.DECODE, model, "v2", emptySet(), 10_000_000_000, "test")

        @Test
        fun `keeps loads within the number and the rate of the weight store`() {
            val limiter = WeightLoadLimiter(WeightLoadLimits(bytesPerSecond = 1_000_000_000, concurrentLoads = 2))
            val left = (1..6).map(::load).toMutableList()
            var given = 0
            for (now in 0L..100_000L step 500) {
                val admitted = limiter.admit(left, now)
                admitted.forEach { limiter.recordSent(it, now) }
                given += admitted.size
                assertTrue(given <= 2 + now / 10_000, "$given loads of 10 s each were given within $now ms")
                if (now % 20_000 == 0L) left.removeFirstOrNull()
            }
            assertTrue(given >= 4)
        }
    }

    /** Two VMs that both take themselves for the one to give orders, and an engine that ignores fencing numbers. */
    private inner class Rivals(private val times: OrderTimes, seed: Long, private val stopMs: Long) {
        private val random = Random(seed)
        private val base = ManualClock(1_000_000)
        private val store = LocalStore()
        private val names = listOf("a", "b")
        private val controllers = names.associateWith(::controller)
        private var paused: String? = null
        val arrivals = mutableListOf<Pair<Long, EngineOrder>>()

        private fun controller(name: String): PlacementController {
            val drift = if (name == "a") -DRIFT else DRIFT
            val clock = object : Clock {
                override fun monotonicMs(): Long = (base.monotonicMs() * (1 + drift)).toLong()

                override fun wallMs(): Long = base.wallMs()
            }
            val timed = object : ReplicatedStore by store {
                override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome {
                    if (random.nextInt(8) == 0) stand(name, random.nextLong(times.leaseTtlMs * 2))
                    return store.submit(command, timeoutMs)
                }
            }
            val sender = OrderSender { _, order, timeoutMs ->
                stand(name, random.nextLong(stopMs + 1))
                arrivals += base.monotonicMs() + random.nextLong(timeoutMs + 1) to order
                true
            }
            return PlacementController(VmId(name), dataCentre, timed, sender, clock, times)
        }

        /** Lets [ms] pass in which [name] stands still and the other goes on. */
        private suspend fun stand(name: String, ms: Long) {
            val end = base.monotonicMs() + ms
            if (paused != null) return base.advance(ms)
            paused = name
            while (base.monotonicMs() + STEP_MS <= end) {
                base.advance(STEP_MS)
                round(names.first { it != name })
            }
            base.advance(maxOf(0, end - base.monotonicMs()))
            paused = null
        }

        private suspend fun round(name: String) {
            val servers = List(3) { engine(it, ServerKind.PREFILL, version = "v${random.nextInt(100)}") }
            controllers.getValue(name).round(PlacementView(records, servers, listOf(vm(name))))
        }

        fun run(rounds: Int) = runBlocking {
            repeat(rounds) {
                val quiet = (base.monotonicMs() / QUIET_MS) % 2 == 0L
                round(if (quiet) "a" else "b")
                base.advance(STEP_MS)
            }
        }
    }

    @Nested
    inner class Takeover {
        private fun overtaken(times: OrderTimes, stopMs: Long, seeds: LongRange): Int = seeds.sumOf { seed ->
            val rivals = Rivals(times, seed, stopMs).apply { run(rounds = 2_000) }
            assertTrue(rivals.arrivals.map { it.second.fencing }.distinct().size > 3, "too few takeovers, seed $seed")
            val fencing = rivals.arrivals.sortedBy { it.first }.map { it.second.fencing }
            fencing.zipWithNext().count { (one, next) -> next < one }
        }

        @Test
        fun `never lets an old order arrive after a new one at an engine that ignores fencing numbers`() {
            val times = OrderTimes()
            assertEquals(0, overtaken(times, times.maxSendPauseMs, 1L..20L))
        }
    }

    @Nested
    inner class Freeze {
        private fun ordersAfter(freezeMs: Long): Int = runBlocking {
            val clock = ManualClock(1_000_000)
            val local = LocalStore()
            val store = object : ReplicatedStore by local {
                override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome {
                    val outcome = local.submit(command, timeoutMs)
                    clock.advance(freezeMs)
                    return outcome
                }
            }
            var sent = 0
            val sender = OrderSender { _, order, _ ->
                sent++
                assertTrue(order.expiresAtMs > clock.wallMs())
                true
            }
            val controller = PlacementController(VmId("a"), dataCentre, store, sender, clock)
            val servers = listOf(engine(1, ServerKind.DECODE, version = "v1", checks = true))
            controller.round(PlacementView(records, servers, listOf(vm("a"))))
            sent
        }

        @Test
        fun `after the lease was asked for lets no order leave once it may have run out`() {
            assertEquals(1, ordersAfter(freezeMs = 100))
            assertEquals(0, ordersAfter(freezeMs = OrderTimes().leaseTtlMs))
        }
    }

    @Nested
    inner class Majority {
        @Test
        fun `out of reach means no orders`() = runBlocking {
            val local = LocalStore()
            val store = object : ReplicatedStore by local {
                override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome =
                    SubmitOutcome.NotKnown("no majority")
            }
            val sender = OrderSender { _, _, _ -> error("An order was sent.") }
            val controller = PlacementController(VmId("a"), dataCentre, store, sender, ManualClock(1_000))
            val servers = listOf(engine(1, ServerKind.DECODE, version = "v1", checks = true))
            repeat(3) { controller.round(PlacementView(records, servers, listOf(vm("a")))) }
        }
    }

    private companion object {
        const val STEP_MS = 500L
        const val QUIET_MS = 120_000L

        /** Share by which a clock runs off, within the most that is assumed for one term. */
        const val DRIFT = 0.01
    }
}
