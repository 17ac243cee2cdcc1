package gentiandale.fleet

import gentiandale.core.Clock

/** Statement of the leader that the configuration [version] was the accepted one [ageMs] milliseconds ago. */
public data class LeaderProof(val version: Long, val ageMs: Long)

/**
 * Decides what the leader of the replicated store can prove. It never proves anything by a confirmation from before its
 * machine was suspended, since the monotonic clock, by which it tells the age, stops meanwhile. Not thread-safe.
 */
public class LeaderProofIssuer(private val clock: Clock) {
    private var lastSkewMs = skewMs()
    private var resumedMs = Long.MIN_VALUE

    /**
     * Returns the proof for [version], which a majority confirmed at the monotonic time [confirmedMs], or null.
     *
     * @param confirmedMs null if this VM is not the leader or may not know all accepted versions.
     */
    public fun next(version: Long, confirmedMs: Long?): LeaderProof? {
        val skewMs = skewMs()
        if (skewMs - lastSkewMs > MAX_SKEW_CHANGE_MS) resumedMs = clock.monotonicMs()
        lastSkewMs = skewMs
        val isUsable = confirmedMs != null && confirmedMs > resumedMs
        return if (isUsable) LeaderProof(version, (clock.monotonicMs() - confirmedMs).coerceAtLeast(0)) else null
    }

    private fun skewMs() = clock.wallMs() - clock.monotonicMs()

    private companion object {
        /** More than corrections of the clock, and far less than what a lease has in reserve. */
        const val MAX_SKEW_CHANGE_MS = 200L
    }
}
