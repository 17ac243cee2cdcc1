package gentiandale.route

import gentiandale.core.CallOutcome
import gentiandale.core.RefusalReason
import gentiandale.core.ServerId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

internal class RetryTest {
    @Nested
    inner class `A failed attempt` : PolicyFixture() {
        @Test
        fun `is retried on another server`() {
            start(prefills = 2, decodes = 2)
            val first = submit(request()).placed().single()
            val second = failed(first, first.pair.decode).placed().single()
            assertNotEquals(first.pair.decode, second.pair.decode)
            assertEquals(first.attempt.next(), second.attempt)
        }

        @Test
        fun `waits for another server instead of returning to the failed one`() {
            start(prefills = 2, decodes = 2, places = 1)
            val other = decoding(request(routine))
            val first = decoding(request(routine))
            assertEquals(emptyList(), failed(first, first.pair.decode).placed())
            now += 200
            assertEquals(emptyList(), policy.tick(now).placed())
            assertEquals(other.pair.decode, answered(other).placed().single().pair.decode)
        }

        @Test
        fun `is not retried after the deadline`() {
            start(prefills = 2, decodes = 2)
            val place = submit(request(deadlineMs = 2_000)).placed().single()
            now += 2_000
            val refusal = failed(place, place.pair.decode).refused().single().refusal
            assertEquals(RefusalReason.BACKEND_FAILED, refusal.reason)
            assertEquals(CallOutcome.UNKNOWN, refusal.outcome)
        }

        @Test
        fun `is refused after three attempts in a row`() {
            start(prefills = 4, decodes = 4)
            val first = submit(request()).placed().single()
            val second = failed(first, first.pair.decode).placed().single()
            val third = failed(second, second.pair.decode).placed().single()
            assertEquals(
                RefusalReason.BACKEND_FAILED,
                failed(third, third.pair.decode).refused().single().refusal.reason,
            )
        }
    }

    @Nested
    inner class `The retry budget` : PolicyFixture() {
        @Test
        fun `limits retries to a share of the requests`() {
            val settings = policySettings {
                retryBurst = 2.0
                retryShare = 0.1
            }
            start(prefills = 1, decodes = 1, settings = settings)
            var retries = 0
            repeat(100) {
                now += 10_000
                val place = submit(request()).placed().single()
                val effects = failed(place, place.pair.decode) + policy.tick(now + 200)
                if (effects.refused().isEmpty()) retries++
                policy.progress(RequestEvent.Cancelled(place.request), now)
            }
            assertTrue(retries in 10..12, "$retries of 100")
        }
    }

    @Nested
    inner class `An interrupted stream` : PolicyFixture(RELAXED_TARGET_FACTOR) {
        @Test
        fun `is placed before queued urgent work`() {
            start(prefills = 8, decodes = 2, places = 4, settings = policySettings { headroomMs = 0.0 })
            val streams = List(8) { decoding(request(routine)) }
            val broken = streams.first { it.pair.decode == ServerId("d0") }
            val other = streams.first { it.pair.decode == ServerId("d1") }
            submit(request(urgent, promptTokens = 100, deadlineMs = 60_000))
            val waiting = request(urgent, promptTokens = 100)
            submit(waiting)
            assertEquals(emptyList(), failed(broken, ServerId("d0"), sentTokens = 40).placed())
            val next = answered(other).placed().first()
            assertEquals(broken.request, next.request)
            assertEquals(2, next.attempt.value)
        }
    }
}
