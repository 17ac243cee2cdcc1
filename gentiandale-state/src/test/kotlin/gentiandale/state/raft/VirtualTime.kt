package gentiandale.state.raft

import java.util.PriorityQueue

/** Event queue that runs events in the order of virtual time, in milliseconds. */
class VirtualTime {
    private class Event(val atMs: Long, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.number })
    private var count = 0L

    var nowMs = 0L
        private set

    fun after(delayMs: Long, action: () -> Unit) {
        events += Event(nowMs + delayMs, count++, action)
    }

    fun runUntil(endMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.remove()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }
}
