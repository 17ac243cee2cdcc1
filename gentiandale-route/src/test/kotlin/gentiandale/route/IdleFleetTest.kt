package gentiandale.route

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

internal class IdleFleetTest : PolicyFixture() {
    @Nested
    inner class Burst {
        @Test
        fun `that fits the free places is not refused`() {
            start(prefills = 2, decodes = 2, places = 10)
            val effects = (0 until 10).flatMap { submit(request(promptTokens = 10)) }
            assertTrue(effects.refused().isEmpty(), effects.refused().toString())
        }
    }
}
