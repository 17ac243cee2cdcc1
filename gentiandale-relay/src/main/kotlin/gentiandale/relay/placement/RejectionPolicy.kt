package gentiandale.relay.placement

import kotlin.random.Random

/** What follows after a server has rejected a plain call because it was full. */
public sealed interface RejectionStep {
    /** Another server is tried at once. */
    public data object TryAnother : RejectionStep

    /** The servers are tried again in [delayMs] milliseconds, when they have finished some calls. */
    public data class Wait(val delayMs: Long) : RejectionStep

    /** The call is refused, since it would be late or too many wait already. */
    public data object Refuse : RejectionStep
}

/**
 * Decides how a plain call continues that servers have rejected. Answers short bursts in which all servers of a service
 * are full for some milliseconds: most calls still meet their target if they wait instead of being refused, which costs
 * the caller a whole retry.
 */
public class RejectionPolicy(private val random: Random) {
    /**
     * Returns the next step after [rejections] rejections of a call that has waited [elapsedMs] of its [targetMs].
     *
     * @param untried whether there is another server that the call may still be sent to.
     * @param serviceMs usual time of a call in milliseconds.
     * @param waiting number of calls of this VM that wait.
     */
    public fun next(
        rejections: Int,
        untried: Boolean,
        elapsedMs: Long,
        targetMs: Long,
        serviceMs: Double,
        waiting: Int,
    ): RejectionStep {
        if (rejections > MAX_REJECTIONS) return RejectionStep.Refuse
        if (untried) return RejectionStep.TryAnother
        val pauseMs = (serviceMs * PAUSE_SHARE).toLong().coerceIn(MIN_PAUSE_MS, MAX_PAUSE_MS)
        val delayMs = pauseMs + random.nextLong(pauseMs + 1)
        val isInTime = elapsedMs + delayMs + serviceMs <= targetMs
        return if (isInTime && waiting < MAX_WAITING) RejectionStep.Wait(delayMs) else RejectionStep.Refuse
    }

    private companion object {
        /** Rejections of one call; each is an arrival that a full server has to answer. */
        const val MAX_REJECTIONS = 5

        /** Calls of one VM that may wait, so that the end of a long overload does not bring a second burst. */
        const val MAX_WAITING = 32

        /** Share of the time of a call after which a server with several places has probably finished one. */
        const val PAUSE_SHARE = 0.4
        const val MIN_PAUSE_MS = 10L
        const val MAX_PAUSE_MS = 100L
    }
}
