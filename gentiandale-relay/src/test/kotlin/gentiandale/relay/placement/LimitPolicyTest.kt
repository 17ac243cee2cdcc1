package gentiandale.relay.placement

import kotlin.test.Test
import kotlin.test.assertEquals

class LimitPolicyTest {
    @Test
    fun `decimal numbers are limits, zero among them`() {
        assertEquals(LimitReading.Named(3.8), LimitPolicy.read(" 3.8 "))
        assertEquals(LimitReading.Named(5.0), LimitPolicy.read("5"))
        assertEquals(LimitReading.Named(0.0), LimitPolicy.read("0"))
    }

    @Test
    fun `other texts are not heeded`() {
        listOf("", "-1", "many", "1e3", "NaN", "3,8", "Infinity").forEach {
            assertEquals(LimitReading.Invalid, LimitPolicy.read(it), it)
        }
    }

    @Test
    fun `an absent or a huge value is no limit`() {
        assertEquals(LimitReading.None, LimitPolicy.read(null))
        assertEquals(LimitReading.None, LimitPolicy.read("9".repeat(30)))
    }
}
