package gentiandale.daemon.request

import gentiandale.core.Attempt
import gentiandale.core.Refusal
import gentiandale.core.ServerId
import gentiandale.core.engine.DecodeEvent
import gentiandale.core.engine.PrefillReply

/**
 * Input of the state machine [RequestLifecycle]. Attempts are numbered as by the routing policy, not as at the engines
 * (see [RequestLifecycle.engineAttempt]).
 */
internal sealed interface LifecycleEvent {
    /** The routing policy placed the request. */
    data class Placed(val placement: Placement) : LifecycleEvent

    /** The routing policy placed [attempt] on [server], which is no longer on the blackboard. */
    data class Unplaceable(val attempt: Attempt, val server: ServerId) : LifecycleEvent

    /** The routing policy refused the request. */
    data class PolicyRefused(val refusal: Refusal) : LifecycleEvent

    /** The routing policy preempted [attempt]. */
    data class Preempted(val attempt: Attempt) : LifecycleEvent

    /** The prefill call of [attempt] is being sent. */
    data class PrefillSent(val attempt: Attempt) : LifecycleEvent

    /** The prefill call of [attempt] was answered. */
    data class PrefillReplied(val attempt: Attempt, val reply: PrefillReply) : LifecycleEvent

    /** The decode engine accepted the call of [attempt] and has received the KV cache. */
    data class DecodeOpened(val attempt: Attempt) : LifecycleEvent

    /** An event arrived on the decode stream. */
    data class DecodeReceived(val event: DecodeEvent) : LifecycleEvent

    /** The current step of [attempt] failed. */
    data class StepFailed(val attempt: Attempt, val reason: String) : LifecycleEvent

    /** The timer with the number [timerId] expired. */
    data class TimedOut(val timerId: Int) : LifecycleEvent

    /** The deadline of the request has passed. */
    data object Expired : LifecycleEvent

    /** The caller disconnected. */
    data object CallerLeft : LifecycleEvent
}
