package gentiandale.relay.placement

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RejectionPolicyTest {
    private val policy = RejectionPolicy(Random(3))

    private fun next(rejections: Int = 1, untried: Boolean = false, elapsedMs: Long = 20, waiting: Int = 0) =
        policy.next(rejections, untried, elapsedMs, TARGET_MS, SERVICE_MS, waiting)

    @Test
    fun `another server is tried first`() {
        assertEquals(RejectionStep.TryAnother, next(untried = true))
    }

    @Test
    fun `a call waits only as long as it can still meet its target`() {
        val wait = assertIs<RejectionStep.Wait>(next())
        assertTrue(wait.delayMs in 10..100)
        assertEquals(RejectionStep.Refuse, next(elapsedMs = 280))
    }

    @Test
    fun `a call that was rejected often, or that finds many waiting, is refused at once`() {
        assertEquals(RejectionStep.Refuse, next(rejections = 6))
        assertEquals(RejectionStep.Refuse, next(waiting = 32))
    }

    /**
     * Plays a burst on three servers of six places that fills them for some milliseconds: 59 VMs send calls without
     * knowing of each other.
     */
    @Nested
    inner class Burst {
        private inner class Run(private val waits: Boolean) {
            private val random = Random(11)
            private val freeAtMs = Array(3) { DoubleArray(6) }
            var inTime = 0
            var refused = 0

            private fun accept(server: Int, nowMs: Double): Boolean {
                val slot = freeAtMs[server].indexOfFirst { it <= nowMs }
                if (slot >= 0) freeAtMs[server][slot] = nowMs + SERVICE_MS
                return slot >= 0
            }

            fun play(calls: Int, gapMs: Double): Run {
                val events = java.util.PriorityQueue<Pair<Double, Triple<Double, Int, Int>>>(compareBy { it.first })
                repeat(calls) { events += it * gapMs to Triple(it * gapMs, 0, random.nextInt(3)) }
                while (events.isNotEmpty()) {
                    val (nowMs, call) = events.remove()
                    val (startMs, rejections, server) = call
                    if (accept(server, nowMs)) {
                        if (nowMs + SERVICE_MS - startMs <= TARGET_MS) inTime++
                        continue
                    }
                    val elapsedMs = (nowMs - startMs).toLong()
                    val untried = rejections % 2 == 0
                    val step = policy.next(rejections + 1, untried, elapsedMs, TARGET_MS, SERVICE_MS, 0)
                    val again = Triple(startMs, rejections + 1, (server + 1) % 3)
                    when {
                        step is RejectionStep.TryAnother -> events += nowMs + 1 to again
                        step is RejectionStep.Wait && waits -> events += nowMs + step.delayMs to again
                        else -> refused++
                    }
                }
                return this
            }
        }

        @Test
        fun `calls that wait are served in time, though they would have been refused`() {
            val waiting = Run(waits = true).play(calls = 60, gapMs = 2.0)
            val refusing = Run(waits = false).play(calls = 60, gapMs = 2.0)
            assertTrue(refusing.refused >= 10, "${refusing.refused} refused without waiting")
            assertTrue(waiting.refused <= refusing.refused / 4, "${waiting.refused} of ${refusing.refused} refused")
            assertEquals(60 - waiting.refused, waiting.inTime)
        }

        @Test
        fun `a load above the capacity is refused before it is late`() {
            val overload = Run(waits = true).play(calls = 900, gapMs = 2.0)
            assertEquals(900, overload.inTime + overload.refused)
        }
    }

    private companion object {
        const val TARGET_MS = 318L
        const val SERVICE_MS = 64.3
    }
}
