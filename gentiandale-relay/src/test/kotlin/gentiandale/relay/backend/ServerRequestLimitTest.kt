package gentiandale.relay.backend

import gentiandale.core.backend.LimitStatement
import gentiandale.relay.placement.LimitReading
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ServerRequestLimitTest {
    private val limit = RequestLimit(Random(1))

    @Nested
    inner class Permits {
        @Test
        fun `each request uses one, and none is sent without`() {
            limit.state(4.0, atMs = 0)
            assertFalse(limit.take(10))
            assertEquals(1, limit.onMissing(10, entryVms = 9))
            limit.grant(2, validMs = 400, nowMs = 20)
            assertEquals(listOf(true, true, false), List(3) { limit.take(30) })
        }

        @Test
        fun `they expire`() {
            limit.state(4.0, atMs = 0)
            limit.onMissing(0, entryVms = 9)
            limit.grant(1, validMs = 400, nowMs = 0)
            assertFalse(limit.admits(400))
        }

        @Test
        fun `those that arrive long after the question are dropped`() {
            limit.state(4.0, atMs = 0)
            limit.onMissing(0, entryVms = 9)
            limit.grant(3, validMs = 400, nowMs = 3_000)
            assertFalse(limit.admits(3_000))
        }

        @Test
        fun `one that was taken for a request that is not sent can be used again`() {
            limit.state(4.0, atMs = 0)
            limit.onMissing(0, entryVms = 9)
            limit.grant(1, validMs = 400, nowMs = 0)
            limit.take(10)
            limit.giveBack(10)
            assertTrue(limit.take(20))
            assertFalse(limit.take(20))
        }

        @Test
        fun `they are asked for again at intervals only, for all requests that need one`() {
            limit.state(4.0, atMs = 0)
            val asked = (0L..250 step 10).map { limit.onMissing(it, entryVms = 9) }
            assertEquals(listOf(1, 16), asked.filter { it > 0 })
        }
    }

    @Nested
    inner class OwnShare {
        @Test
        fun `is used after a second without any reply, and ends with one`() {
            limit.state(9.0, atMs = 0)
            val sent = (0L until 11_000 step 50).count { limit.take(it) || limit.onMissing(it, entryVms = 9) < 0 }
            assertTrue(sent in 8..10, "$sent requests")
            limit.onMissing(11_000, entryVms = 9)
            limit.grant(0, validMs = 400, nowMs = 11_010)
            assertFalse(limit.admits(12_900))
        }

        @Test
        fun `of many VMs with a low limit is not used by all at the same time`() {
            val limits = List(94) { RequestLimit(Random(it)) }
            limits.forEach { it.state(4.0, atMs = 0) }
            val sends = (0L until 10_000 step 50).flatMap { now ->
                limits.filter { it.take(now) || it.onMissing(now, entryVms = 94) < 0 }.map { now }
            }
            val peak = sends.maxOf { from -> sends.count { it in from until from + 4_000 } }
            assertTrue(peak <= 4 * 4 * 3 / 2 + 5, "$peak requests in 4 s")
        }
    }

    @Nested
    inner class Statements {
        @Test
        fun `an answer without a limit ends it only if its request was sent after the limit was named`() {
            limit.onAnswer(LimitReading.Named(4.0), sentMs = 80, nowMs = 100)
            assertFalse(limit.onAnswer(LimitReading.None, sentMs = 90, nowMs = 120))
            assertEquals(4.0, limit.perSecond(130))
            assertTrue(limit.onAnswer(LimitReading.None, sentMs = 110, nowMs = 140))
            assertNull(limit.perSecond(150))
        }

        @Test
        fun `an answer without a limit ends one that was named in the millisecond in which its request was sent`() {
            limit.onAnswer(LimitReading.Named(4.0), limit.onSent(80), nowMs = 100)
            assertTrue(limit.onAnswer(LimitReading.None, limit.onSent(100), nowMs = 100))
            assertNull(limit.perSecond(100))
        }

        @Test
        fun `a limit named after a request was sent is not ended by its answer, also in the same millisecond`() {
            limit.onAnswer(LimitReading.Named(4.0), limit.onSent(80), nowMs = 100)
            val sentMs = limit.onSent(100)
            limit.onAnswer(LimitReading.Named(4.0), limit.onSent(100), nowMs = 100)
            assertFalse(limit.onAnswer(LimitReading.None, sentMs, nowMs = 100))
            assertEquals(4.0, limit.perSecond(100))
        }

        @Test
        fun `an invalid value keeps what was said before`() {
            limit.onAnswer(LimitReading.Named(4.0), sentMs = 0, nowMs = 100)
            assertFalse(limit.onAnswer(LimitReading.Invalid, sentMs = 150, nowMs = 200))
            assertEquals(4.0, limit.perSecond(200))
        }

        @Test
        fun `the newest one counts, whichever arrives last`() {
            limit.state(4.0, atMs = 100)
            assertFalse(limit.state(null, atMs = 50))
            assertEquals(4.0, limit.perSecond(200))
        }

        @Test
        fun `one that no answer has repeated for long is dropped`() {
            limit.state(4.0, atMs = 0)
            assertNull(limit.perSecond(LimitStatement.RETENTION_MS))
        }
    }
}
