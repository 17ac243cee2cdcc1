package gentiandale.spec

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FoundingSpecificationTest {
    private val specification = Specification("founding")

    @Nested
    inner class CorrectProtocol {
        @Test
        fun `can found a group after a VM lost its disk`() {
            assertTrue(specification.hasInstance("CanFoundAfterLoss"))
        }

        @Test
        fun `founds at most one group`() {
            assertFalse(specification.hasInstance("Safe"))
        }
    }

    @Nested
    inner class InjectedFault {
        @Test
        fun `founds two groups if a VM takes part again after it lost its disk`() {
            assertTrue(specification.hasInstance("BrokenVoteAfterLostDisk"))
        }

        @Test
        fun `founds two groups if a proposer ignores what others have accepted`() {
            assertTrue(specification.hasInstance("BrokenIgnoreAccepted"))
        }

        @Test
        fun `founds two groups if a minority is enough`() {
            assertTrue(specification.hasInstance("BrokenMinorityQuorum"))
        }

        @Test
        fun `founds two groups if a promise is ignored`() {
            assertTrue(specification.hasInstance("BrokenIgnorePromise"))
        }
    }
}
