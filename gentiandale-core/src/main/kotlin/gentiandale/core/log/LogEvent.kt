package gentiandale.core.log

/** One decision or change of belief that is written as a log line. */
public interface LogEvent {
    /** Part of the system that decided, a fixed prefix. */
    public val part: String

    /** What happened, in lower case with dashes. */
    public val name: String

    /** Whether it tells of something that went wrong. */
    public val isFailure: Boolean get() = false

    /** Writes the inputs and the outcome. */
    public fun describe(line: LogLine)
}

/** Takes [LogEvent]s. It never blocks; events that do not fit are dropped and counted. */
public fun interface EventLog {
    /** Writes [event]. */
    public fun write(event: LogEvent)

    /** Holds the usual logs. */
    public companion object {
        /** Drops everything, for tests. */
        public val NONE: EventLog = EventLog { }
    }
}
