package gentiandale.relay

/**
 * A graceful shutdown. Requests are taken as long as they can be finished.
 *
 * @param sinceMs monotonic time in milliseconds of the signal.
 * @param endMs monotonic time in milliseconds at which what still runs is cut off.
 */
public class ShutdownWindow(private val sinceMs: Long, private val endMs: Long) {
    /** Returns whether a request that begins at [nowMs] can be finished; [isStream] for a stream of events. */
    public fun allows(isStream: Boolean, nowMs: Long): Boolean =
        if (isStream) nowMs - sinceMs <= STREAM_ADMISSION_MS else endMs - nowMs >= MAX_PLAIN_REQUEST_MS

    private companion object {
        /** Streams last several seconds; the balancer needs two to three to send callers elsewhere. */
        const val STREAM_ADMISSION_MS = 2_500L

        /** Longest deadline of a plain call. */
        const val MAX_PLAIN_REQUEST_MS = 1_000L
    }
}
