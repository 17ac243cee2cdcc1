package gentiandale.core.log

import gentiandale.core.ManualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BoundedEventLogTest {
    private class Answered(override val isFailure: Boolean) : LogEvent {
        override val part = "relay"
        override val name = "ended"

        override fun describe(line: LogLine) {
            line.field("text", "a \"quoted\"\nline")
        }
    }

    private val clock = ManualClock()
    private val lines = ArrayList<String>()
    private val log = BoundedEventLog(JsonEventLog("vm", 1, clock) { lines += it }, clock)

    @Test
    fun `a flood is sampled, failures keep their own limit, and the number of dropped events is logged`() {
        repeat(2_000) { log.write(Answered(isFailure = false)) }
        log.write(Answered(isFailure = true))
        assertEquals(BoundedEventLog.MAX_PER_S + 90 + 1, lines.size)
        clock.advance(1_000)
        log.write(Answered(isFailure = false))
        assertTrue(lines.any { "\"event\":\"dropped\"" in it && "\"count\":1710" in it })
        assertEquals(1_710, log.dropped)
    }

    @Test
    fun `an event is written as one JSON object on one line`() {
        log.write(Answered(isFailure = true))
        assertTrue("""a \"quoted\"\u000aline""" in lines.single())
        assertTrue('\n' !in lines.single())
    }
}
