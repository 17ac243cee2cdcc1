package gentiandale.route

import gentiandale.core.RequestId
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class ReservedPlacesTest {
    @Nested
    inner class `A random sequence of events` : PolicyFixture() {
        private val placed = LinkedHashMap<RequestId, Effect.Place>()
        private val open = LinkedHashSet<RequestId>()

        @Test
        fun `releases all reservations`() {
            for (seed in 1L..60L) {
                run(Random(seed), policySettings { preemption = seed % 2 == 0L })
                assertEquals(0, policy.reservedPlaces(), "seed $seed")
            }
        }

        private fun run(random: Random, settings: PolicySettings) {
            now = 0
            placed.clear()
            open.clear()
            start(prefills = 3, decodes = 3, settings = settings)
            repeat(400) {
                now += if (random.nextInt(40) == 0) 2_000 else random.nextLong(30)
                apply(step(random))
                assertTrue(policy.areReservationsConsistent(), "step $it")
            }
            open.toList().forEach { apply(policy.progress(RequestEvent.Cancelled(it), now), it) }
            assertTrue(policy.areReservationsConsistent())
        }

        private fun step(random: Random): List<Effect> {
            val place = placed.values.randomOrNull(random)
            return when (random.nextInt(12)) {
                0, 1, 2 -> submitAny(random)
                3 -> place?.let { prefilled(it) }
                4 -> place?.let { firstToken(it) }
                5 -> place?.let { finish(it.request) { answered(it) } }
                6 -> place?.let {
                    failed(it, listOf(it.pair.prefill, it.pair.decode).random(random), random.nextInt(9))
                }
                7 -> open.randomOrNull(random)?.let { finish(it) { policy.progress(RequestEvent.Cancelled(it), now) } }
                8 -> policy.observe(FleetEvent.ServerGone(ServerId("d${random.nextInt(3)}")), now)
                9 -> seen(
                    facts("d${random.nextInt(3)}", ServerKind.DECODE, incarnation = random.nextLong(2)),
                    load(random),
                )
                10 -> seen(facts("p${random.nextInt(3)}", ServerKind.PREFILL, leaving = random.nextInt(4) == 0))
                else -> policy.tick(now)
            }.orEmpty()
        }

        private fun load(random: Random): ServerLoad {
            val named = placed.keys.filter { random.nextBoolean() }.take(3)
            return ServerLoad(running = named.size, requests = named)
        }

        private fun submitAny(random: Random): List<Effect> {
            val request = request(listOf(urgent, routine).random(random), "c${random.nextInt(3)}")
            open += request.request
            return submit(request)
        }

        private fun finish(request: RequestId, action: () -> List<Effect>): List<Effect> {
            open -= request
            placed -= request
            return action()
        }

        private fun apply(effects: List<Effect>, ended: RequestId? = null) {
            ended?.let { finish(it) { emptyList() } }
            effects.forEach { effect ->
                when (effect) {
                    is Effect.Place -> placed[effect.request] = effect
                    is Effect.Refuse -> finish(effect.request) { emptyList() }
                    is Effect.Preempt -> placed.remove(effect.request)
                }
            }
        }
    }

    @Nested
    inner class `A server that was removed` : PolicyFixture() {
        @Test
        fun `has its reservations restored when it reports again`() {
            start(prefills = 1, decodes = 1, places = 1)
            decoding(request())
            policy.observe(FleetEvent.ServerGone(ServerId("d0")), now)
            seen(facts("d0", ServerKind.DECODE, places = 1))
            assertEquals(1, policy.reservedPlaces())
            assertEquals(emptyList(), submit(request()).placed())
        }
    }

    @Nested
    inner class `A late event of a failed attempt` : PolicyFixture() {
        @Test
        fun `does not affect the reservations of the next attempt`() {
            start(prefills = 2, decodes = 2)
            val first = submit(request()).placed().single()
            val second = failed(first, first.pair.decode).placed().single()
            failed(first, first.pair.decode)
            prefilled(first)
            assertEquals(1, policy.reservedPlaces())
            assertEquals(2, second.attempt.value)
            assertTrue(policy.areReservationsConsistent())
        }
    }
}
