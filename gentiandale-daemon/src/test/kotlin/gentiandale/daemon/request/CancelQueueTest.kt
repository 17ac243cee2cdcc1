package gentiandale.daemon.request

import gentiandale.core.Address
import gentiandale.core.Attempt
import gentiandale.core.RequestId
import gentiandale.core.ServerId
import gentiandale.core.SystemClock
import gentiandale.core.engine.CancelReply
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class CancelQueueTest {
    private val request = RequestId("r")
    private val target = Target(ServerId("s"), Address("127.0.0.1", 1))

    /** Counts the cancels sent to an engine that answers with [replies] in turn, where null is a lost reply. */
    private fun attemptsFor(replies: List<Boolean?>, deadlineMs: Long = 60_000): Int = runBlocking {
        var attempts = 0
        val queue = CancelQueue(this, SystemClock) { _, _ ->
            val held = replies.getOrElse(attempts++) { null }
            CancelReply(request, held ?: error("the reply was lost"))
        }
        queue.add(target, request, Attempt.FIRST, SystemClock.monotonicMs() + deadlineMs)
        withTimeout(WAIT_MS) { while (queue.size > 0) delay(POLL_MS) }
        attempts
    }

    @Nested
    inner class Engine {
        @Test
        fun `gets the cancel again until it confirms`() = assertEquals(3, attemptsFor(listOf(null, null, true)))

        @Test
        fun `that held nothing gets the cancel again until it has confirmed that twice`() =
            assertEquals(4, attemptsFor(listOf(false, null, null, false)))

        @Test
        fun `that received the call after the first cancel gets another cancel`() =
            assertEquals(3, attemptsFor(listOf(false, null, true)))

        @Test
        fun `gets cancels until the deadline of the request has passed`() {
            val startMs = SystemClock.monotonicMs()
            attemptsFor(emptyList(), deadlineMs = 100)
            assert(SystemClock.monotonicMs() - startMs >= 100)
        }
    }

    private companion object {
        const val WAIT_MS = 30_000L
        const val POLL_MS = 5L
    }
}
