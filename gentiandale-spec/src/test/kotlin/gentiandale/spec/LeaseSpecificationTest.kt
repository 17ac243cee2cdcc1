package gentiandale.spec

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LeaseSpecificationTest {
    private val specification = Specification("lease")

    @Nested
    inner class CorrectProtocol {
        @Test
        fun `lets a second holder send orders`() {
            assertTrue(specification.hasInstance("CanHandOver"))
        }

        @Test
        fun `executes no order of an older grant after one of a newer grant`() {
            assertFalse(specification.hasInstance("InOrder"))
        }

        @Test
        fun `needs neither wait nor timing assumptions if the engine checks fencing tokens`() {
            assertFalse(specification.hasInstance("InOrderWithoutWaitIfChecked"))
        }
    }

    @Nested
    inner class InjectedFault {
        @Test
        fun `executes a late order if a new holder does not wait`() {
            assertTrue(specification.hasInstance("BrokenNoWait"))
        }

        @Test
        fun `executes a late order after a process freeze longer than assumed`() {
            assertTrue(specification.hasInstance("BrokenLongFreeze"))
        }

        @Test
        fun `executes a late order after a packet delay longer than assumed`() {
            assertTrue(specification.hasInstance("BrokenLongDelay"))
        }
    }
}
