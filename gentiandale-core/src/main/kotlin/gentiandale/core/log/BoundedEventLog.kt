package gentiandale.core.log

import gentiandale.core.Clock

/**
 * Bounds the lines of each kind of event in a second. The first ones of a second are written, of the others one in
 * [SAMPLE]; how many were left out is written once the second is over. Events that tell of a failure have a bound of
 * their own, so that a flood of good ones does not hide them.
 */
public class BoundedEventLog(private val inner: EventLog, private val clock: Clock) : EventLog {
    private class Window(var second: Long = Long.MIN_VALUE, var seen: Int = 0, var dropped: Long = 0)

    private val windows = HashMap<String, Window>()

    /** Events that were left out since the start. */
    @Volatile
    public var dropped: Long = 0
        private set

    @Synchronized
    override fun write(event: LogEvent) {
        val key = if (event.isFailure) "${event.part}/${event.name}/failure" else "${event.part}/${event.name}"
        val window = windows.getOrPut(key) { Window() }
        val second = clock.monotonicMs() / MS_PER_S
        if (second != window.second) begin(key, window, second)
        window.seen++
        if (window.seen <= MAX_PER_S || (window.seen - MAX_PER_S) % SAMPLE == 0) return inner.write(event)
        window.dropped++
        dropped++
    }

    private fun begin(key: String, window: Window, second: Long) {
        val left = window.dropped
        window.second = second
        window.seen = 0
        window.dropped = 0
        if (left > 0) inner.write(Dropped(key, left))
    }

    private class Dropped(private val what: String, private val count: Long) : LogEvent {
        override val part = "log"
        override val name = "dropped"

        override fun describe(line: LogLine) {
            line.field("what", what).field("count", count)
        }
    }

    /** Holds the bounds. */
    public companion object {
        /** Lines of one kind in a second: some times the usual rate of a VM. */
        public const val MAX_PER_S: Int = 200

        /** Of the events above the bound one in this many is written. */
        public const val SAMPLE: Int = 20

        private const val MS_PER_S = 1_000L
    }
}
