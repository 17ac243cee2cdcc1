package gentiandale.relay

/**
 * Time window of a graceful shutdown. Requests are accepted as long as they can be finished in it.
 *
 * @param sinceMs monotonic time in milliseconds of the termination signal.
 * @param endMs monotonic time in milliseconds at which requests still running are aborted.
 */
public class ShutdownWindow(private val sinceMs: Long, private val endMs: Long) {
    /** Returns whether a request that starts at [nowMs] can be finished; [isStream] if it is an event stream. */
    public fun allows(isStream: Boolean, nowMs: Long): Boolean =
        if (isStream) nowMs - sinceMs <= STREAM_ADMISSION_MS else endMs - nowMs >= MAX_PLAIN_REQUEST_MS

    private companion object {
        /** Streams last several seconds; the load balancer needs two to three to send callers elsewhere. */
        const val STREAM_ADMISSION_MS = 2_500L

        /** Longest deadline of a plain request. */
        const val MAX_PLAIN_REQUEST_MS = 1_000L
    }
}
