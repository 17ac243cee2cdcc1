package gentiandale.state.history

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LinearizabilityCheckerTest {
    private fun write(expected: Long, body: String, invoked: Long, returned: Long, version: Long? = expected + 1) =
        RegisterOperation(
            RegisterInput.Write(expected, body),
            version?.let { RegisterOutput.Written(it) } ?: RegisterOutput.Conflict,
            invoked,
            returned,
        )

    private fun unknown(expected: Long, body: String, invoked: Long) =
        RegisterOperation(RegisterInput.Write(expected, body), null, invoked, Long.MAX_VALUE)

    private fun read(version: Long, body: String?, at: Long) =
        RegisterOperation(RegisterInput.Read, RegisterOutput.Value(version, body), at, at + 1)

    private fun check(vararg history: RegisterOperation) =
        LinearizabilityChecker(CompareAndSetRegister).isLinearizable(history.toList())

    @Nested
    inner class LinearizableHistory {
        @Test
        fun `accepts a race that one writer wins`() {
            assertTrue(check(write(0, "a", 0, 10), write(0, "b", 0, 10, version = null), read(1, "a", 20)))
        }

        @Test
        fun `accepts an unanswered write that took effect late or never`() {
            assertTrue(check(unknown(0, "a", 0), read(0, null, 10), read(1, "a", 20)))
            assertTrue(check(unknown(0, "a", 0), read(0, null, 10), read(0, null, 20)))
        }
    }

    @Nested
    inner class NonLinearizableHistory {
        @Test
        fun `rejects two successful writes of one version`() {
            assertFalse(check(write(0, "a", 0, 10), write(0, "b", 0, 10)))
        }

        @Test
        fun `rejects a lost write`() {
            assertFalse(check(write(0, "a", 0, 10), read(0, null, 20)))
        }

        @Test
        fun `rejects a read of an older version after a newer one`() {
            assertFalse(check(write(0, "a", 0, 10), unknown(1, "b", 0), read(2, "b", 20), read(1, "a", 30)))
        }

        @Test
        fun `rejects a conflict reply for a write that took effect`() {
            assertFalse(check(write(0, "a", 0, 10, version = null), read(1, "a", 20)))
        }

        @Test
        fun `rejects an effect before the invocation`() {
            assertFalse(check(read(1, "a", 0), unknown(0, "a", 10)))
        }
    }
}
