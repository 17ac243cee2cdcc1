package gentiandale.relay.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RestPolicyTest {
    private fun restMs(retryAfter: String?, status: Int = 503, date: String? = null) =
        RestPolicy.restMs(status, retryAfter, date, NOON_MS)

    @Nested
    inner class Seconds {
        @Test
        fun `may have a fraction`() {
            assertEquals(listOf<Long?>(2_000, 1_500, 250, 3_000), listOf("2", "1.5", ".25", " 3. ").map { restMs(it) })
        }

        @Test
        fun `are limited, however large`() {
            val large = listOf("3600", "1e9", "9".repeat(400)).map { restMs(it) }
            assertEquals(listOf(RestPolicy.MAX_REST_MS, null, RestPolicy.MAX_REST_MS), large)
        }

        @Test
        fun `that are negative, zero or no number ask for no rest`() {
            listOf("-1", "0", "0.0", "NaN", "Infinity", "soon", "", "1,5").forEach { assertNull(restMs(it), it) }
        }
    }

    @Nested
    inner class Dates {
        @Test
        fun `count from the date of the answer, so that clocks may differ`() {
            val rest = restMs("Fri, 04 Dec 2026 03:00:07 GMT", date = "Fri, 04 Dec 2026 03:00:00 GMT")
            assertEquals(7_000, rest)
        }

        @Test
        fun `count from the local clock if the answer has no date`() {
            assertEquals(5_000, restMs("Fri, 04 Dec 2026 12:00:05 GMT"))
        }

        @Test
        fun `in the past ask for no rest, far ones for the longest`() {
            assertNull(restMs("Fri, 04 Dec 2026 11:59:00 GMT"))
            assertEquals(RestPolicy.MAX_REST_MS, restMs("Sat, 04 Dec 2027 12:00:00 GMT"))
        }
    }

    @Test
    fun `only a 503 asks for a rest`() {
        listOf(200, 429, 500, 421).forEach { assertNull(restMs("2", status = it)) }
        assertNull(restMs(null))
    }

    private companion object {
        /** 2026-12-04 12:00:00 GMT. */
        const val NOON_MS = 1_796_385_600_000L
    }
}
