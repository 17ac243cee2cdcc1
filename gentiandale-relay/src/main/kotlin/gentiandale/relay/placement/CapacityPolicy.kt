package gentiandale.relay.placement

import gentiandale.core.ServerId
import gentiandale.core.capacity.CapacityAnswer

/** What a request does that needs capacity of a service. */
public sealed interface CapacityStep {
    /** This VM places it, since there is capacity. */
    public data object Place : CapacityStep

    /** It asks the control VM that holds the queue, in [delayMs] milliseconds, and waits for the answer. */
    public data class Ask(val delayMs: Long = 0) : CapacityStep

    /** It is sent to [server], or to one that this VM chooses if that is null. */
    public data class Send(val server: ServerId?) : CapacityStep

    /** This VM places it by what it knows, since the queue gave no answer that it can use. */
    public data object FallBack : CapacityStep

    /**
     * It is refused because of [reason]; a retry after [retryAfterMs] milliseconds has a chance.
     *
     * @param isExact whether that time has been chosen for this request, and is not to be scattered.
     */
    public data class Refuse(val reason: String, val retryAfterMs: Long, val isExact: Boolean = true) : CapacityStep
}

/**
 * The situation of a request that has to be placed, and for whose service a control VM holds a queue.
 *
 * @param isContended whether a control VM has said that capacity of the service is scarce.
 * @param hasCapacity whether a server has capacity by the loads that this VM knows.
 * @param rejections times that a server has rejected the request because it was full.
 * @param hasFallenBack whether an earlier question about the request had no answer.
 * @param leftMs time until its deadline.
 * @param minimumMs least time in which a server can answer it.
 */
public data class CapacityView(
    val isContended: Boolean,
    val hasCapacity: Boolean,
    val rejections: Int = 0,
    val hasFallenBack: Boolean = false,
    val leftMs: Long,
    val minimumMs: Long,
)

/**
 * Decides whether a request is placed by this VM or asks for capacity. Answers the load that exceeds the places of a
 * service with fewer places than there are entry VMs, so that none of them can infer the load from its own requests:
 * if each VM polled full servers, these would spend their time on rejections, and freed places would go to whichever VM
 * asked at that moment.
 */
public object CapacityPolicy {
    /** Rejections or unusable grants of a request after which the queue is taken to be mistaken about the servers. */
    private const val MAX_FAILED_GRANTS = 4

    /** Pause after a grant that was of no use, in which the loads that led to it are corrected. */
    private const val ASK_AGAIN_MS = 20L

    /** Bound of the pause, which grows with each further useless grant. */
    private const val MAX_ASK_AGAIN_MS = 80L

    /** Time in which servers of a full service usually finish some calls. */
    private const val RETRY_AFTER_MS = 300L

    /** Returns what a request does in the situation [view]. */
    public fun next(view: CapacityView): CapacityStep {
        val isScarce = view.isContended || !view.hasCapacity || view.rejections > 0
        return when {
            !isScarce -> CapacityStep.Place
            view.hasFallenBack || view.rejections > MAX_FAILED_GRANTS -> CapacityStep.FallBack
            view.leftMs < view.minimumMs -> noTimeLeft()
            // The first rejection precedes any grant: the loads that this VM knew were out of date.
            else -> CapacityStep.Ask(askAgainMs(view.rejections - 1))
        }
    }

    /**
     * Returns what follows from [answer].
     *
     * @param isUsable whether the request can use the server that is granted.
     * @param unusable grants before this one that the request could not use.
     * @param isStream whether it asks for memory, of which this VM knows more than the control VM, so that it asks
     *   however often it takes.
     */
    public fun after(answer: CapacityAnswer, isUsable: Boolean, unusable: Int, isStream: Boolean): CapacityStep =
        when (answer) {
            is CapacityAnswer.Granted -> when {
                isUsable -> CapacityStep.Send(answer.server)
                unusable < MAX_FAILED_GRANTS || isStream -> CapacityStep.Ask(askAgainMs(unusable + 1))
                else -> CapacityStep.FallBack
            }
            is CapacityAnswer.Refused -> CapacityStep.Refuse(answer.reason, answer.retryAfterMs)
            is CapacityAnswer.Unanswered -> CapacityStep.FallBack
        }

    private fun askAgainMs(failures: Int) = (ASK_AGAIN_MS * failures.coerceAtLeast(0)).coerceAtMost(MAX_ASK_AGAIN_MS)

    /** Returns the refusal of a request that a server can't answer before its deadline. */
    public fun noTimeLeft(): CapacityStep.Refuse =
        CapacityStep.Refuse("no capacity before the deadline", RETRY_AFTER_MS, isExact = false)
}
