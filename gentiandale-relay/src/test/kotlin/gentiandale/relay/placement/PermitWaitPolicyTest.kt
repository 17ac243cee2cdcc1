package gentiandale.relay.placement

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class PermitWaitPolicyTest {
    private fun waitMs(elapsedMs: Long, waiting: Int = 0) =
        PermitWaitPolicy.waitMs(elapsedMs, targetMs = 121, serviceMs = 21.0, waiting)

    @Test
    fun `a call waits as long as it can still be answered by its target`() {
        assertEquals(100, waitMs(elapsedMs = 0))
        assertEquals(40, waitMs(elapsedMs = 60))
    }

    @Test
    fun `a call that would be late, or comes after many others, is refused at once`() {
        assertNull(waitMs(elapsedMs = 98))
        assertNull(waitMs(elapsedMs = 0, waiting = 32))
    }
}
