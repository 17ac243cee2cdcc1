package gentiandale.standin.load

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class LoadPlanTest : LoadFixture() {
    @Nested
    inner class Arrivals {
        @Test
        fun `are deterministic for a seed`() {
            assertEquals(plan(), plan())
            assertNotEquals(plan().map { it.atMs }, plan(options.copy(seed = 4)).map { it.atMs })
        }

        @Test
        fun `keep to the rate, the request limit and the duration`() {
            assertTrue(plan().size in 1_800..2_200, "${plan().size} arrivals")
            assertEquals(50, plan(options.copy(maxRequests = 50)).size)
            assertTrue(plan().all { it.atMs < options.durationMs })
        }
    }

    @Nested
    inner class Mix {
        @Test
        fun `follows the weights of the ranks`() {
            val urgent = plan().count { it.rank.value == "urgent" } / plan().size.toDouble()
            assertTrue(urgent in 0.2..0.3, "share $urgent")
        }

        @Test
        fun `keeps prompt lengths within bounds and calls VMs round-robin`() {
            assertTrue(plan().all { it.prompt.length in 40..4_000 })
            assertEquals(options.targets, plan().take(2).map { it.target })
        }
    }
}
