package gentiandale.core.log

import gentiandale.core.Clock

/**
 * Writes each event as one JSON object to [output].
 *
 * @param vm name of this VM.
 * @param incarnation start time of this process in milliseconds since the epoch.
 */
public class JsonEventLog(
    private val vm: String,
    private val incarnation: Long,
    private val clock: Clock,
    private val output: (String) -> Unit,
) : EventLog {
    override fun write(event: LogEvent) {
        val line = LogLine()
            .field("time_ms", clock.wallMs())
            .field("steady_ms", clock.monotonicMs())
            .field("vm", vm)
            .field("incarnation", incarnation)
            .field("part", event.part)
            .field("event", event.name)
        event.describe(line)
        output(line.build())
    }
}
