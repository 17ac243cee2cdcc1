package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.log.EventLog
import gentiandale.core.log.LogEvent
import gentiandale.core.log.LogLine

/**
 * Passes on at most [MAX_PER_S] lines of each kind a second to [log], and states in the next one how many were omitted,
 * since a queue makes several hundred decisions a second in a burst.
 */
internal class BoundedDecisionLog(private val clock: Clock, private val log: EventLog) : EventLog {
    private class Count(var sinceMs: Long, var written: Int = 0, var omitted: Int = 0)

    private class Line(private val event: LogEvent, private val omitted: Int) : LogEvent by event {
        override fun describe(line: LogLine) {
            event.describe(line)
            if (omitted > 0) line.field("omitted", omitted)
        }
    }

    private val counts = HashMap<String, Count>()

    override fun write(event: LogEvent) {
        val now = clock.monotonicMs()
        val count = counts.getOrPut(event.name) { Count(now) }
        if (now - count.sinceMs >= MS_PER_S) {
            count.sinceMs = now
            count.written = 0
        }
        if (count.written >= MAX_PER_S) {
            count.omitted++
            return
        }
        count.written++
        log.write(Line(event, count.omitted))
        count.omitted = 0
    }

    private companion object {
        const val MAX_PER_S = 100
        const val MS_PER_S = 1_000L
    }
}
