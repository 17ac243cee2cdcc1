package gentiandale.relay.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class TakeoverPolicyTest {
    private fun next(silentMs: Long = 1_250, isFirstHeard: Boolean = false, isSecondHeard: Boolean = false) =
        TakeoverPolicy.next(Takeover(silentMs, isFirstHeard, isSecondHeard))

    @Nested
    inner class KeepsBothServers {
        @Test
        fun `when the second one responds`() = assertEquals(TakeoverStep.AwaitSecond, next(isSecondHeard = true))

        @Test
        fun `when the first one has only preempted the stream`() =
            assertEquals(TakeoverStep.AwaitSecond, next(silentMs = 2_450, isFirstHeard = true, isSecondHeard = true))
    }

    @Nested
    inner class LeavesTheFirstServer {
        @Test
        fun `for one that is silent as well when the caller is about to give the stream up`() =
            assertEquals(TakeoverStep.LeaveFirst, next(silentMs = 2_200))
    }

    @Nested
    inner class ReturnsToTheFirstServer {
        @Test
        fun `from one that is silent as well`() {
            assertIs<TakeoverStep.ReturnToFirst>(next())
        }

        @Test
        fun `from a silent one to one that responds to other requests however long the stream has paused`() {
            assertIs<TakeoverStep.ReturnToFirst>(next(silentMs = 9_000, isFirstHeard = true))
        }
    }
}
