package gentiandale.core.log

/** A decision or a change of the known state, written as one log line. */
public interface LogEvent {
    /** Component that reports the event, written as the field `part`. */
    public val part: String

    /** Kind of the event in lower case with dashes, written as the field `event`. */
    public val name: String

    /** Whether the event reports a failure. */
    public val isFailure: Boolean get() = false

    /** Adds the inputs and the outcome of the decision to [line]. */
    public fun describe(line: LogLine)
}

/** Receives [LogEvent]s. Writing never blocks; events above the limit are dropped and counted. */
public fun interface EventLog {
    /** Writes [event]. */
    public fun write(event: LogEvent)

    /** Provides common event logs. */
    public companion object {
        /** Discards all events, for tests. */
        public val NONE: EventLog = EventLog { }
    }
}
