package gentiandale.route

import gentiandale.core.RequestId
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class LaggingReportsTest {
    @Nested
    inner class `A report older than the latest placements` : PolicyFixture(RELAXED_TARGET_FACTOR) {
        @Test
        fun `does not release their places`() {
            start(prefills = 3, decodes = 1, places = 2)
            repeat(2) { decoding(request(routine)) }
            repeat(3) {
                now += 300
                seen(facts("d0", ServerKind.DECODE, places = 2), ServerLoad())
            }
            assertEquals(emptyList(), submit(request(routine)).placed())
        }

        @Test
        fun `does not block places of requests that were answered since`() {
            start(prefills = 3, decodes = 1, places = 2)
            val places = List(2) { decoding(request(routine)) }
            places.forEach { answered(it) }
            now += 100
            seen(facts("d0", ServerKind.DECODE, places = 2), ServerLoad(2, requests = places.map { it.request }))
            assertEquals(1, submit(request(routine)).placed().size)
        }
    }

    @Nested
    inner class `A report with unknown requests` : PolicyFixture(RELAXED_TARGET_FACTOR) {
        private val untracked = listOf(RequestId("x"), RequestId("y"))

        @Test
        fun `blocks places for them until a report no longer lists them`() {
            start(prefills = 3, decodes = 1, places = 2)
            seen(facts("d0", ServerKind.DECODE, places = 2), ServerLoad(running = 2, requests = untracked))
            assertEquals(emptyList(), submit(request(routine)).placed())
            val effects = seen(facts("d0", ServerKind.DECODE, places = 2), ServerLoad())
            assertEquals(1, effects.placed().size)
        }

        @Test
        fun `counts running requests that it does not list`() {
            start(prefills = 3, decodes = 1, places = 2)
            seen(facts("d0", ServerKind.DECODE, places = 2), ServerLoad(running = 2))
            assertEquals(emptyList(), submit(request(routine)).placed())
        }

        @Test
        fun `blocks the place of a cancelled request that still runs`() {
            start(prefills = 3, decodes = 1, places = 1)
            val place = decoding(request(routine))
            policy.progress(RequestEvent.Cancelled(place.request), now)
            seen(facts("d0", ServerKind.DECODE, places = 1), ServerLoad(1, requests = listOf(place.request)))
            assertEquals(emptyList(), submit(request(routine)).placed())
        }
    }

    @Nested
    inner class `A request that the engine no longer reports` : PolicyFixture(RELAXED_TARGET_FACTOR) {
        @Test
        fun `releases its place after several reports, and only once`() {
            start(prefills = 3, decodes = 1, places = 1)
            val lost = decoding(request(routine))
            now += 5_000
            seen(facts("d0", ServerKind.DECODE, places = 1))
            assertEquals(emptyList(), submit(request(routine)).placed())
            now += 500
            val next = seen(facts("d0", ServerKind.DECODE, places = 1)).placed().single()
            answered(lost)
            assertEquals(1, policy.reservedPlaces())
            assertEquals(emptyList(), submit(request(routine)).placed())
            assertTrue(policy.areReservationsConsistent())
            assertEquals(1, answered(next).placed().size)
        }
    }
}
