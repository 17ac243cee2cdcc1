package gentiandale.route

import gentiandale.core.CallOutcome
import gentiandale.core.RankId
import gentiandale.core.RefusalReason
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

internal class AdmissionTest {
    @Nested
    inner class `A request that cannot be served in time` : PolicyFixture() {
        @Test
        fun `is refused at once with a retry time that matches the backlog`() {
            start(prefills = 1, decodes = 1, places = 1)
            decoding(request())
            val first = submit(request()).refused().single().refusal
            assertEquals(RefusalReason.OVERLOAD, first.reason)
            assertEquals(CallOutcome.NOT_RUN, first.outcome)
            assertTrue(assertNotNull(first.retryAfterMs) in 2_000..8_000, "${first.retryAfterMs}")
        }

        @Test
        fun `gets a longer retry time the slower places are released`() {
            val waits = listOf(2, 6).map { places ->
                now = 0
                start(prefills = places, decodes = 1, places = places)
                repeat(places) { decoding(request()) }
                assertNotNull(submit(request(promptTokens = 100)).refused().single().refusal.retryAfterMs)
            }
            assertTrue(waits[0] > 2 * waits[1], "$waits")
        }

        @Test
        fun `is refused while queued once its first token can no longer meet the target`() {
            start(prefills = 16, decodes = 1, places = 16)
            repeat(16) { decoding(request(routine)) }
            val waiting = request(routine)
            assertEquals(emptyList(), submit(waiting))
            val refusals = generateSequence {
                now += 10
                policy.tick(now).refused()
            }.take(600).flatten().toList()
            assertEquals(waiting.request, refusals.single().request)
            assertEquals(0, policy.tick(now).size)
        }

        @Test
        fun `is refused if its deadline is too near`() {
            start(prefills = 1, decodes = 1)
            val refusal = submit(request(deadlineMs = 50)).refused().single().refusal
            assertEquals(RefusalReason.DEADLINE, refusal.reason)
        }
    }

    @Nested
    inner class `A long prompt` : PolicyFixture() {
        @Test
        fun `is placed although its prefill alone takes longer than the target`() {
            start(prefills = 1, decodes = 1)
            assertEquals(1, submit(request(promptTokens = 20_000)).placed().size)
        }
    }

    @Nested
    inner class `A request without a matching record or server` : PolicyFixture() {
        @Test
        fun `is refused if its rank is unknown`() {
            start(prefills = 1, decodes = 1)
            val refusal = submit(request().copy(rank = RankId("other"))).refused().single().refusal
            assertEquals(RefusalReason.UNKNOWN_RANK, refusal.reason)
            assertEquals(CallOutcome.NOT_RUN, refusal.outcome)
        }

        @Test
        fun `is refused without servers, with an outcome that reflects earlier attempts`() {
            start(prefills = 1, decodes = 1)
            val place = submit(request()).placed().single()
            seen(facts("d0", ServerKind.DECODE, leaving = true))
            val fresh = submit(request()).refused().single().refusal
            val broken = failed(place, ServerId("d0")).refused().single().refusal
            assertEquals(RefusalReason.NO_SERVER, fresh.reason)
            assertEquals(CallOutcome.NOT_RUN, fresh.outcome)
            assertEquals(CallOutcome.UNKNOWN, broken.outcome)
        }
    }
}
