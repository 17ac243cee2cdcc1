package gentiandale.interleaving

import gentiandale.core.Blackboard
import gentiandale.core.BoardKey
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFailsWith

/** Checks with Lincheck that operations on a value of the [Blackboard] are linearizable. */
class BlackboardInterleavingTest {
    /** Counter on the blackboard whose increment is lost under concurrency if [Blackboard.update] is not atomic. */
    class Counter {
        private val board = Blackboard()

        @Operation
        fun add(): Unit = board.update(COUNT) { it + 1 }

        @Operation
        fun read(): Int = board[COUNT]
    }

    /** Faulty counter whose increment is a separate read and write, so that concurrent increments are lost. */
    class NonAtomicCounter {
        private val board = Blackboard()

        @Operation
        fun add() {
            board[COUNT] = board[COUNT] + 1
        }

        @Operation
        fun read(): Int = board[COUNT]
    }

    @Nested
    inner class Update {
        @Test
        fun `is atomic`() {
            options().check(Counter::class)
        }

        @Test
        fun `by a separate read and write is detected as not linearizable`() {
            assertFailsWith<AssertionError> { options().check(NonAtomicCounter::class) }
        }
    }

    private fun options() = ModelCheckingOptions()
        .iterations(ITERATIONS)
        .invocationsPerIteration(INVOCATIONS)
        .threads(2)
        .actorsPerThread(2)
        .actorsBefore(0)
        .actorsAfter(1)
        .minimizeFailedScenario(false)

    private companion object {
        const val ITERATIONS = 5
        const val INVOCATIONS = 500
        val COUNT = BoardKey("count", 0)
    }
}
