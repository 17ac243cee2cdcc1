package gentiandale.daemon.request

import gentiandale.core.Attempt
import gentiandale.core.ServerId
import gentiandale.route.RequestEvent

/** Step of an attempt that has a time limit of its own. */
internal enum class Step {
    /** From sending the prefill call to its reply. */
    PREFILL,

    /** From sending the decode call until the engine has received the KV cache. */
    TRANSFER,

    /** From the receipt of the KV cache to the first token. */
    FIRST_TOKEN,

    /** From one token to the next. */
    NEXT_TOKEN,
}

/** Side effect that a [Transition] of a [RequestLifecycle] asks for; [RequestRun] executes it. */
internal sealed interface LifecycleCommand {
    /** Sends the prefill call of [placement]. */
    data class Prefill(val placement: Placement) : LifecycleCommand

    /** Sends the decode call of [placement] for the KV cache [handle], starting at token [firstIndex]. */
    data class Decode(val placement: Placement, val handle: String, val firstIndex: Int) : LifecycleCommand

    /** Aborts the running call of the current attempt. */
    data object AbortCalls : LifecycleCommand

    /** Cancels the request at [target], for all attempts whose number at the engines is at most [engineAttempt]. */
    data class Cancel(val target: Target, val engineAttempt: Attempt) : LifecycleCommand

    /** Reports [event] to the routing policy. */
    data class NotifyPolicy(val event: RequestEvent) : LifecycleCommand

    /** Delivers [answer] to the caller. */
    data class Deliver(val answer: Answer) : LifecycleCommand

    /** Starts the timer of [step] with the number [timerId]. It replaces the timer that is running. */
    data class StartTimer(val step: Step, val timerId: Int) : LifecycleCommand

    /** Stops the timer of the step. */
    data object StopTimer : LifecycleCommand

    /** Counts an event of an engine that was not delivered as it arrived. */
    data class CountAnomaly(val kind: AnswerAnomaly) : LifecycleCommand

    /** Takes one retry from the retry budget. */
    data object SpendRetry : LifecycleCommand

    /** Logs that [attempt] failed at [server]. */
    data class RecordFailure(val attempt: Attempt, val server: ServerId, val reason: String) : LifecycleCommand
}
