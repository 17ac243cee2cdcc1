package gentiandale.bench.capacity

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class LinearFitTest {
    private val line = (1..5).map { Sample(it.toDouble(), 2.0 * it + 3.0) }

    @Nested
    inner class Of {
        @Test
        fun `fits slope and intercept exactly to samples on a line`() {
            val fit = assertNotNull(LinearFit.of(line))
            assertEquals(2.0, fit.slope, TOLERANCE)
            assertEquals(3.0, fit.intercept, TOLERANCE)
            assertEquals(1.0, fit.rSquared, TOLERANCE)
        }

        @Test
        fun `has R squared 0 for samples without linear trend`() {
            val scatter = line.mapIndexed { i, sample -> sample.copy(value = if (i % 2 == 0) 10.0 else 0.0) }
            assertEquals(0.0, assertNotNull(LinearFit.of(scatter)).rSquared, TOLERANCE)
        }

        @Test
        fun `returns null for fewer than four distinct sizes`() {
            assertNull(LinearFit.of(line.take(3) + line.take(3)))
        }
    }

    @Nested
    inner class ValueAt {
        @Test
        fun `extrapolates the line and returns the extrapolation factor`() {
            val fit = assertNotNull(LinearFit.of(line))
            assertEquals(203.0, fit.valueAt(100.0), TOLERANCE)
            assertEquals(20.0, fit.extrapolationFactor(100.0), TOLERANCE)
        }
    }

    private companion object {
        const val TOLERANCE = 1e-9
    }
}
