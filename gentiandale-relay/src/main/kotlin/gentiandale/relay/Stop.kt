package gentiandale.relay

/**
 * A graceful shutdown. Requests are taken as long as they can be finished.
 *
 * @param sinceMs monotonic time in milliseconds of the signal.
 * @param endMs monotonic time in milliseconds at which what still runs is cut off.
 */
public class Stop(private val sinceMs: Long, private val endMs: Long) {
    /** Returns whether a request that begins at [nowMs] can be finished; [isStream] for a stream of events. */
    public fun leavesTimeFor(isStream: Boolean, nowMs: Long): Boolean =
        if (isStream) nowMs - sinceMs <= STREAMS_MS else endMs - nowMs >= PLAIN_MS

    private companion object {
        /** Streams last several seconds; the balancer needs two to three to send callers elsewhere. */
        const val STREAMS_MS = 2_500L

        /** Longest deadline of a plain call. */
        const val PLAIN_MS = 1_000L
    }
}
