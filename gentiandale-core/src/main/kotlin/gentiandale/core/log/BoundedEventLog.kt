package gentiandale.core.log

import gentiandale.core.Clock

/**
 * Limits how many events of each kind are written per second. The first [MAX_PER_S] events of a second are written,
 * of the others one in [SAMPLING_INTERVAL]. The number of dropped events is written with the first event of a later
 * second. Failures have a limit of their own, so that a flood of successes does not hide them.
 */
public class BoundedEventLog(private val inner: EventLog, private val clock: Clock) : EventLog {
    private class Window(var second: Long = Long.MIN_VALUE, var seen: Int = 0, var dropped: Long = 0)

    private val windows = HashMap<String, Window>()

    /** Number of events dropped since the start. */
    @Volatile
    public var dropped: Long = 0
        private set

    @Synchronized
    override fun write(event: LogEvent) {
        val key = if (event.isFailure) "${event.part}/${event.name}/failure" else "${event.part}/${event.name}"
        val window = windows.getOrPut(key) { Window() }
        val second = clock.monotonicMs() / MS_PER_S
        if (second != window.second) startWindow(key, window, second)
        window.seen++
        if (window.seen <= MAX_PER_S || (window.seen - MAX_PER_S) % SAMPLING_INTERVAL == 0) return inner.write(event)
        window.dropped++
        dropped++
    }

    private fun startWindow(key: String, window: Window, second: Long) {
        val droppedBefore = window.dropped
        window.second = second
        window.seen = 0
        window.dropped = 0
        if (droppedBefore > 0) inner.write(EventsDropped(key, droppedBefore))
    }

    private class EventsDropped(private val kind: String, private val count: Long) : LogEvent {
        override val part = "log"
        override val name = "dropped"

        override fun describe(line: LogLine) {
            line.field("what", kind).field("count", count)
        }
    }

    /** Limits of the written events. */
    public companion object {
        /** Events of one kind per second that are all written; several times the usual rate of a VM. */
        public const val MAX_PER_S: Int = 200

        /** One in this many events above [MAX_PER_S] is written. */
        public const val SAMPLING_INTERVAL: Int = 20

        private const val MS_PER_S = 1_000L
    }
}
