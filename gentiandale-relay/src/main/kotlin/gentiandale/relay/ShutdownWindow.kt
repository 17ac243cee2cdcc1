package gentiandale.relay

/**
 * Time window of a graceful shutdown. Requests are accepted as long as they can be finished in it.
 *
 * @param sinceMs monotonic time in milliseconds of the termination signal.
 * @param endMs monotonic time in milliseconds at which requests still running are aborted.
 */
public class ShutdownWindow(internal val sinceMs: Long, internal val endMs: Long) {
    /** Monotonic time in milliseconds by which plain requests that are accepted in the window get their answer. */
    internal val plainDeadlineMs: Long get() = endMs - ANSWER_MARGIN_MS

    /** Monotonic time in milliseconds after which no request is sent to a server for the first time. */
    internal val lastAdmissionMs: Long get() = endMs - MIN_PLAIN_TIME_MS

    /** Returns whether a request that starts at [nowMs] can be finished; [isStream] if it is an event stream. */
    public fun allows(isStream: Boolean, nowMs: Long): Boolean =
        if (isStream) nowMs - sinceMs <= STREAM_ADMISSION_MS else !isEnding(nowMs)

    /** Returns whether the window is too close to its end for further requests at [nowMs]. */
    internal fun isEnding(nowMs: Long): Boolean = nowMs > lastAdmissionMs

    private companion object {
        /** Streams last several seconds; the load balancer needs two to three to send callers elsewhere. */
        const val STREAM_ADMISSION_MS = 2_500L

        /** Plain requests rarely take longer. */
        const val MIN_PLAIN_TIME_MS = 1_000L

        /** Time in milliseconds for an answer to be written before the process ends. */
        const val ANSWER_MARGIN_MS = 100L
    }
}
