package gentiandale.bench.policy

import java.util.PriorityQueue

/** Runs events in the order of virtual time. Events at the same time run in the order in which they were scheduled. */
internal class EventScheduler {
    private class ScheduledEvent(val atMs: Double, val sequence: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<ScheduledEvent> { it.atMs }.thenBy { it.sequence })
    private var nextSequence = 0L

    /** Current virtual time in milliseconds. */
    var nowMs: Double = 0.0
        private set

    /** Schedules [action] to run in [delayMs] milliseconds of virtual time. */
    fun schedule(delayMs: Double, action: () -> Unit) {
        events += ScheduledEvent(nowMs + delayMs, nextSequence++, action)
    }

    /** Runs all events that are due by [endMs], then sets [nowMs] to it. */
    fun runUntil(endMs: Double) {
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }
}
