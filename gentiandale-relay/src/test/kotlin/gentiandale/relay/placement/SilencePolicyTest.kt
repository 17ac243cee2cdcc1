package gentiandale.relay.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SilencePolicyTest {
    private fun next(
        silence: Silence = Silence(waitedMs = 1_000, quietMs = 1_000, isCallerSlow = false),
        hasAttempt: Boolean = true,
        hasBudget: Boolean = true,
    ) = SilencePolicy.next(silence, limitMs = 1_000, hasAttempt, hasBudget)

    @Nested
    inner class Moves {
        @Test
        fun `a stream is moved away from a server that sends nothing at all`() =
            assertEquals(SilenceStep.Move, next())

        @Test
        fun `a stream is moved away from a server that has never sent anything`() =
            assertEquals(SilenceStep.Move, next(Silence(1_000, quietMs = null, isCallerSlow = false)))

        @Test
        fun `a preempted stream is moved before its caller gives it up`() =
            assertEquals(SilenceStep.Move, next(Silence(waitedMs = 2_200, quietMs = 5, isCallerSlow = false)))
    }

    @Nested
    inner class Waits {
        @Test
        fun `a preempted stream stays at a server that answers other requests`() {
            assertIs<SilenceStep.Wait>(next(Silence(waitedMs = 1_000, quietMs = 999, isCallerSlow = false)))
        }

        @Test
        fun `a stream stays at a server that is not read as its caller is slow`() {
            assertIs<SilenceStep.Wait>(next(Silence(waitedMs = 9_000, quietMs = null, isCallerSlow = true)))
        }

        @Test
        fun `a stream stays for good if its route allows no further server`() =
            assertTrue(assertIs<SilenceStep.Wait>(next(hasAttempt = false)).isFinal)

        @Test
        fun `a stream stays until the retry budget allows another send`() {
            assertEquals(false, assertIs<SilenceStep.Wait>(next(hasBudget = false)).isFinal)
        }
    }
}
