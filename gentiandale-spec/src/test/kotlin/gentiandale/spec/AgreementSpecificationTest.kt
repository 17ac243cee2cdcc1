package gentiandale.spec

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class AgreementSpecificationTest {
    private val specification = Specification("agreement")

    @Nested
    inner class CorrectProtocol {
        @Test
        fun `can replace a voter`() {
            assertTrue(specification.hasInstance("CanReplaceVoter"))
        }

        @Test
        fun `loses no committed entry with three voters`() {
            assertFalse(specification.hasInstance("Safe"))
        }

        @Test
        fun `loses no committed entry while a voter is replaced`() {
            assertFalse(specification.hasInstance("SafeWithReplacement"))
        }
    }

    @Nested
    inner class InjectedFault {
        @Test
        fun `loses a committed entry if a voter votes after it lost its disk`() {
            assertTrue(specification.hasInstance("BrokenVoteAfterLostDisk"))
        }

        @Test
        fun `loses a committed entry if an entry of an older term is committed by counting replicas`() {
            assertTrue(specification.hasInstance("BrokenCommitOlderTerm"))
        }

        @Test
        fun `loses a committed entry if two voters are replaced at once`() {
            assertTrue(specification.hasInstance("BrokenReplaceTwoAtOnce"))
        }

        @Test
        fun `loses a committed entry if a voter is replaced before a commit in the leader's term`() {
            assertTrue(specification.hasInstance("BrokenReplaceBeforeCommit"))
        }
    }
}
