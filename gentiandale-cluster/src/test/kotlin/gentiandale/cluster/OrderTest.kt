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
        fun `is empty when all pools are served`() {
            val servers =
                listOf(engine(1, ServerKind.PREFILL), engine(2, ServerKind.DECODE), engine(3, ServerKind.DECODE))
            assertEquals(emptyList(), planPlacement(records, servers))
        }

        @Test
        fun `prefers a change of role to loading weights and leaves serving engines unchanged`() {
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
        fun `has no order for a leaving server`() {
            val servers = listOf(engine(1, ServerKind.PREFILL, version = "v1").copy(leaving = true))
            assertEquals(emptyList(), planPlacement(records, servers))
        }
    }

    @Nested
    inner class WeightLoads {
        private fun load(i: Int) =
            PlannedOrder(ServerId("s-$i"), ServerKind.DECODE, model, "v2", emptySet(), 10_000_000_000, "test")

        @Test
        fun `keeps loads within the concurrency and bandwidth of the weight store`() {
            val limiter = WeightLoadLimiter(WeightLoadLimits(bytesPerSecond = 1_000_000_000, concurrentLoads = 2))
            val planned = (1..6).map(::load).toMutableList()
            var sent = 0
            for (now in 0L..100_000L step 500) {
                val admitted = limiter.admit(planned, now)
                admitted.forEach { limiter.recordSent(it, now) }
                sent += admitted.size
                assertTrue(sent <= 2 + now / 10_000, "$sent loads of 10 s each were sent within $now ms")
                if (now % 20_000 == 0L) planned.removeFirstOrNull()
            }
            assertTrue(sent >= 4)
        }
    }

    /** Two VMs that both act as the owner of the placement, and engines that do not check fencing tokens. */
    private inner class CompetingControllers(private val times: OrderTimes, seed: Long, private val maxPauseMs: Long) {
        private val random = Random(seed)
        private val trueClock = ManualClock(1_000_000)
        private val store = LocalStore()
        private val names = listOf("a", "b")
        private val controllers = names.associateWith(::controller)
        private var paused: String? = null
        val arrivals = mutableListOf<Pair<Long, EngineOrder>>()

        private fun controller(name: String): PlacementController {
            val drift = if (name == "a") -CLOCK_DRIFT_RATIO else CLOCK_DRIFT_RATIO
            val clock = object : Clock {
                override fun monotonicMs(): Long = (trueClock.monotonicMs() * (1 + drift)).toLong()

                override fun wallMs(): Long = trueClock.wallMs()
            }
            val pausingStore = object : ReplicatedStore by store {
                override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome {
                    if (random.nextInt(8) == 0) pause(name, random.nextLong(times.leaseTtlMs * 2))
                    return store.submit(command, timeoutMs)
                }
            }
            val sender = OrderSender { _, order, timeoutMs ->
                pause(name, random.nextLong(maxPauseMs + 1))
                arrivals += trueClock.monotonicMs() + random.nextLong(timeoutMs + 1) to order
                true
            }
            return PlacementController(VmId(name), dataCentre, pausingStore, sender, clock, times)
        }

        /** Advances time by [ms] while the controller [name] is paused and the other one continues. */
        private suspend fun pause(name: String, ms: Long) {
            val end = trueClock.monotonicMs() + ms
            if (paused != null) return trueClock.advance(ms)
            paused = name
            while (trueClock.monotonicMs() + STEP_MS <= end) {
                trueClock.advance(STEP_MS)
                round(names.first { it != name })
            }
            trueClock.advance(maxOf(0, end - trueClock.monotonicMs()))
            paused = null
        }

        private suspend fun round(name: String) {
            val servers = List(3) { engine(it, ServerKind.PREFILL, version = "v${random.nextInt(100)}") }
            controllers.getValue(name).round(PlacementView(records, servers, listOf(vm(name))))
        }

        fun run(rounds: Int) = runBlocking {
            repeat(rounds) {
                val isFirstActive = (trueClock.monotonicMs() / TAKEOVER_PERIOD_MS) % 2 == 0L
                round(if (isFirstActive) "a" else "b")
                trueClock.advance(STEP_MS)
            }
        }
    }

    @Nested
    inner class Takeover {
        private fun reorderedOrders(times: OrderTimes, maxPauseMs: Long, seeds: LongRange): Int = seeds.sumOf { seed ->
            val run = CompetingControllers(times, seed, maxPauseMs).apply { run(rounds = 2_000) }
            assertTrue(run.arrivals.map { it.second.fencing }.distinct().size > 3, "seed $seed: at most 3 lease terms")
            val fencing = run.arrivals.sortedBy { it.first }.map { it.second.fencing }
            fencing.zipWithNext().count { (one, next) -> next < one }
        }

        @Test
        fun `never lets an older order arrive after a newer one at an engine that does not check fencing tokens`() {
            val times = OrderTimes()
            assertEquals(0, reorderedOrders(times, times.maxSendPauseMs, 1L..20L))
        }
    }

    @Nested
    inner class Pause {
        private fun ordersSentAfterPause(pauseMs: Long): Int = runBlocking {
            val clock = ManualClock(1_000_000)
            val local = LocalStore()
            val store = object : ReplicatedStore by local {
                override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome {
                    val outcome = local.submit(command, timeoutMs)
                    clock.advance(pauseMs)
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
        fun `while acquiring the lease prevents orders once the lease may have expired`() {
            assertEquals(1, ordersSentAfterPause(pauseMs = 100))
            assertEquals(0, ordersSentAfterPause(pauseMs = OrderTimes().leaseTtlMs))
        }
    }

    @Nested
    inner class Majority {
        @Test
        fun `out of reach prevents orders`() = runBlocking {
            val local = LocalStore()
            val store = object : ReplicatedStore by local {
                override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome =
                    SubmitOutcome.NotKnown("no majority")
            }
            val sender = OrderSender { _, _, _ -> error("An order was sent without a majority.") }
            val controller = PlacementController(VmId("a"), dataCentre, store, sender, ManualClock(1_000))
            val servers = listOf(engine(1, ServerKind.DECODE, version = "v1", checks = true))
            repeat(3) { controller.round(PlacementView(records, servers, listOf(vm("a")))) }
        }
    }

    private companion object {
        const val STEP_MS = 500L
        const val TAKEOVER_PERIOD_MS = 120_000L

        /** Clock drift as a share of elapsed time, within the bound that is assumed for one lease term. */
        const val CLOCK_DRIFT_RATIO = 0.01
    }
}
