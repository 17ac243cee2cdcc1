package gentiandale.standin.engine

import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/** Mutex that is granted to the waiter with the lowest priority number, and first come, first served among equals. */
internal class PriorityMutex {
    private class Waiter(val priority: Int, val sequence: Long, val granted: CompletableDeferred<Unit>)

    private val waiting = PriorityQueue<Waiter>(compareBy<Waiter> { it.priority }.thenBy { it.sequence })
    private var nextSequence = 0L
    private var locked = false

    /** Runs [action] while holding the mutex. A waiter that is cancelled is removed from the queue. */
    suspend fun <T> withLock(priority: Int, action: suspend () -> T): T {
        val waiter = enqueue(priority)
        try {
            waiter.granted.await()
            return action()
        } finally {
            release(waiter)
        }
    }

    private fun enqueue(priority: Int): Waiter = synchronized(waiting) {
        val waiter = Waiter(priority, nextSequence++, CompletableDeferred())
        waiting += waiter
        grantNext()
        waiter
    }

    private fun release(waiter: Waiter) = synchronized(waiting) {
        if (!waiting.remove(waiter)) locked = false
        grantNext()
    }

    private fun grantNext() {
        if (locked) return
        val next = waiting.poll() ?: return
        locked = true
        next.granted.complete(Unit)
    }
}
