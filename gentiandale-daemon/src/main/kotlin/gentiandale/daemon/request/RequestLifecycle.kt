package gentiandale.daemon.request

import gentiandale.core.Attempt
import gentiandale.core.CallOutcome
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.RequestId
import gentiandale.core.ServerId
import gentiandale.core.engine.DecodeEvent
import gentiandale.daemon.request.RequestState.Decoding
import gentiandale.daemon.request.RequestState.Ended
import gentiandale.daemon.request.RequestState.Placed
import gentiandale.daemon.request.RequestState.Prefilling
import gentiandale.daemon.request.RequestState.Queued
import gentiandale.daemon.request.RequestState.Running
import gentiandale.daemon.request.RequestState.Transferring
import gentiandale.route.RequestEvent

/** Result of [RequestLifecycle.advance]: the [next] state, and the commands to execute, in order. */
internal data class Transition(val next: RequestLifecycle, val commands: List<LifecycleCommand> = emptyList())

/**
 * State machine of one request. [advance] is pure: it does no I/O and reads no clock.
 *
 * @param attemptBase offset from the attempt numbers of the routing policy to those at the engines. Each VM that takes
 * over the request uses a higher one, so that a cancel by an earlier owner does not end the work of a later one.
 * @param nextIndex index of the first token that has not been delivered to the caller.
 * @param mayHaveRun whether a byte of the request can have reached a backend server.
 * @param timerId number of the step timer that was started last; expiries of earlier timers are ignored.
 * @param buffered events that arrived ahead of a missing token, by index.
 */
internal data class RequestLifecycle(
    val request: RequestId,
    val attemptBase: Int = 0,
    val nextIndex: Int = 0,
    val mayHaveRun: Boolean = false,
    val state: RequestState = Queued,
    val timerId: Int = 0,
    val buffered: Map<Int, DecodeEvent> = emptyMap(),
) {
    /** Returns the number of [attempt] at the engines. */
    fun engineAttempt(attempt: Attempt): Attempt = Attempt(attemptBase + attempt.value)

    /**
     * Applies [event] and returns the resulting state with the commands to execute.
     *
     * @param mayRetry whether the retry budget allows another attempt.
     */
    fun advance(event: LifecycleEvent, mayRetry: Boolean): Transition {
        if (state is Ended) return afterEnd(event)
        return when (event) {
            is LifecycleEvent.Placed -> place(event.placement)
            is LifecycleEvent.Unplaceable -> unplaceable(event, mayRetry)
            is LifecycleEvent.PolicyRefused -> end(RequestState.Refused, refused(event.refusal))
            is LifecycleEvent.Preempted -> preempted(event)
            is LifecycleEvent.PrefillSent -> prefillSent(event)
            is LifecycleEvent.PrefillReplied -> prefillReplied(event, mayRetry)
            is LifecycleEvent.DecodeOpened -> decodeOpened(event)
            is LifecycleEvent.DecodeReceived -> decodeReceived(event.event, mayRetry)
            is LifecycleEvent.StepFailed -> stepFailed(event, mayRetry)
            is LifecycleEvent.TimedOut -> timedOut(event, mayRetry)
            LifecycleEvent.Expired -> end(RequestState.Refused, notifyCancelled() + refused(expired()))
            LifecycleEvent.CallerLeft -> end(RequestState.Cancelled, notifyCancelled())
        }
    }

    private fun afterEnd(event: LifecycleEvent): Transition = when (event) {
        is LifecycleEvent.DecodeReceived, is LifecycleEvent.PrefillReplied -> drop(AnswerAnomaly.LATE)
        else -> Transition(this)
    }

    private fun place(placement: Placement): Transition {
        if (state != Queued) return Transition(this)
        val placed = copy(state = Placed(placement), mayHaveRun = true)
        return placed.withTimer(Step.PREFILL, listOf(LifecycleCommand.Prefill(placement)))
    }

    private fun unplaceable(event: LifecycleEvent.Unplaceable, mayRetry: Boolean): Transition {
        if (state != Queued) return Transition(this)
        val failure = LifecycleCommand.RecordFailure(event.attempt, event.server, "the server is no longer known")
        if (!mayRetry) return giveUp(listOf(failure))
        return Transition(this, listOf(failure, LifecycleCommand.SpendRetry, notifyFailed(event.attempt, event.server)))
    }

    private fun prefillSent(event: LifecycleEvent.PrefillSent): Transition {
        val placed = state as? Placed ?: return Transition(this)
        if (placed.placement.attempt != event.attempt) return Transition(this)
        return Transition(copy(state = Prefilling(placed.placement)))
    }

    private fun prefillReplied(event: LifecycleEvent.PrefillReplied, mayRetry: Boolean): Transition {
        val running = running(event.attempt)
        if (running !is Placed && running !is Prefilling) return drop(AnswerAnomaly.LATE)
        val reply = event.reply
        if (reply.request != request || reply.attempt != engineAttempt(event.attempt)) {
            return fail(running, "the prefill reply is for ${reply.request} attempt ${reply.attempt}", mayRetry)
                .with(LifecycleCommand.CountAnomaly(AnswerAnomaly.MISDIRECTED))
        }
        val placement = running.placement
        val commands = listOf(
            LifecycleCommand.NotifyPolicy(RequestEvent.Prefilled(request, placement.attempt, reply.cachedTokens)),
            LifecycleCommand.Decode(placement, reply.handle, nextIndex),
        )
        return copy(state = Transferring(placement)).withTimer(Step.TRANSFER, commands)
    }

    private fun decodeOpened(event: LifecycleEvent.DecodeOpened): Transition {
        val running = running(event.attempt) as? Transferring ?: return Transition(this)
        return copy(state = Decoding(running.placement)).withTimer(Step.FIRST_TOKEN)
    }

    private fun decodeReceived(event: DecodeEvent, mayRetry: Boolean): Transition {
        val running = state as? Running
        if (event.request != request) return drop(AnswerAnomaly.MISDIRECTED)
        if (running !is Decoding) return drop(AnswerAnomaly.LATE)
        val attempt = engineAttempt(running.placement.attempt)
        return when {
            event.attempt.value > attempt.value -> drop(AnswerAnomaly.MISDIRECTED)
            event.attempt != attempt -> drop(AnswerAnomaly.LATE)
            event.index < nextIndex || event.index in buffered -> drop(AnswerAnomaly.DOUBLED)
            event.index > nextIndex -> bufferEvent(running, event, mayRetry)
            else -> deliver(running, event, mayRetry)
        }
    }

    private fun bufferEvent(running: Running, event: DecodeEvent, mayRetry: Boolean): Transition {
        val transition = when {
            buffered.size < MAX_BUFFERED_EVENTS -> Transition(copy(buffered = buffered + (event.index to event)))
            else -> fail(running, "token $nextIndex is missing after $MAX_BUFFERED_EVENTS later events", mayRetry)
        }
        return transition.with(LifecycleCommand.CountAnomaly(AnswerAnomaly.OUT_OF_ORDER))
    }

    private fun deliver(running: Decoding, first: DecodeEvent, mayRetry: Boolean): Transition {
        val commands = mutableListOf<LifecycleCommand>()
        var event: DecodeEvent? = first
        var index = nextIndex
        while (event != null) {
            val finish = event.finish
            if (finish != null) return copy(nextIndex = index).finished(running, commands, finish, mayRetry)
            commands += LifecycleCommand.Deliver(Answer.Token(index, event.text))
            index++
            event = buffered[index]
        }
        if (!running.tokenSeen) {
            commands += LifecycleCommand.NotifyPolicy(RequestEvent.FirstToken(request, running.placement.attempt))
        }
        val remaining = if (buffered.isEmpty()) buffered else buffered.filterKeys { it >= index }
        return copy(state = running.copy(tokenSeen = true), nextIndex = index, buffered = remaining)
            .withTimer(Step.NEXT_TOKEN, commands)
    }

    private fun finished(
        running: Running,
        before: List<LifecycleCommand>,
        finish: String,
        mayRetry: Boolean,
    ): Transition {
        if (finish in DecodeEvent.COMPLETE) return answered(before, finish)
        val failed = fail(running, "the engine ended its stream with '$finish'", mayRetry)
        return failed.copy(commands = before + failed.commands)
    }

    private fun answered(before: List<LifecycleCommand>, finish: String): Transition {
        val commands = before + listOf(
            LifecycleCommand.StopTimer,
            LifecycleCommand.NotifyPolicy(RequestEvent.Answered(request, nextIndex)),
            LifecycleCommand.Deliver(Answer.Finished(nextIndex, finish)),
        )
        return Transition(copy(state = RequestState.Answered, buffered = emptyMap()), commands)
    }

    private fun preempted(event: LifecycleEvent.Preempted): Transition =
        running(event.attempt)?.let { requeue(it) } ?: Transition(this)

    private fun stepFailed(event: LifecycleEvent.StepFailed, mayRetry: Boolean): Transition =
        running(event.attempt)?.let { fail(it, event.reason, mayRetry) } ?: Transition(this)

    private fun timedOut(event: LifecycleEvent.TimedOut, mayRetry: Boolean): Transition {
        val running = state as? Running
        if (running == null || event.timerId != timerId) return Transition(this)
        return fail(running, "${running.stepName()} timed out", mayRetry)
    }

    private fun fail(running: Running, reason: String, mayRetry: Boolean): Transition {
        val placement = running.placement
        val server =
            if (running is Placed || running is Prefilling) placement.prefill.server else placement.decode.server
        val failure = LifecycleCommand.RecordFailure(placement.attempt, server, reason)
        if (!mayRetry) return giveUp(listOf(failure))
        return requeue(running).with(failure, LifecycleCommand.SpendRetry, notifyFailed(placement.attempt, server))
    }

    private fun giveUp(before: List<LifecycleCommand>): Transition =
        end(RequestState.Refused, before + notifyCancelled() + refused(backendFailed()))

    private fun requeue(running: Running): Transition =
        Transition(copy(state = Queued, buffered = emptyMap()), release(running))

    private fun end(state: Ended, commands: List<LifecycleCommand>): Transition {
        val released = (this.state as? Running)?.let { release(it) }.orEmpty()
        return Transition(copy(state = state, buffered = emptyMap()), released + LifecycleCommand.StopTimer + commands)
    }

    private fun release(running: Running): List<LifecycleCommand> {
        val placement = running.placement
        val attempt = engineAttempt(placement.attempt)
        return buildList {
            add(LifecycleCommand.StopTimer)
            add(LifecycleCommand.AbortCalls)
            add(LifecycleCommand.Cancel(placement.prefill, attempt))
            if (running is Transferring || running is Decoding) add(LifecycleCommand.Cancel(placement.decode, attempt))
        }
    }

    private fun refused(refusal: Refusal): List<LifecycleCommand> {
        val outcome = if (mayHaveRun) CallOutcome.UNKNOWN else refusal.outcome
        return listOf(LifecycleCommand.Deliver(Answer.Refused(refusal.copy(outcome = outcome))))
    }

    private fun running(attempt: Attempt): Running? = (state as? Running)?.takeIf { it.placement.attempt == attempt }

    private fun withTimer(step: Step, commands: List<LifecycleCommand> = emptyList()): Transition =
        Transition(copy(timerId = timerId + 1), commands + LifecycleCommand.StartTimer(step, timerId + 1))

    private fun drop(kind: AnswerAnomaly) = Transition(this, listOf(LifecycleCommand.CountAnomaly(kind)))

    private fun notifyCancelled() = listOf(LifecycleCommand.NotifyPolicy(RequestEvent.Cancelled(request)))

    private fun notifyFailed(attempt: Attempt, server: ServerId) =
        LifecycleCommand.NotifyPolicy(RequestEvent.Failed(request, attempt, server, nextIndex))

    private fun Running.stepName() = when (this) {
        is Placed, is Prefilling -> "prefill"
        is Transferring -> "KV cache transfer"
        is Decoding -> if (tokenSeen) "next token" else "first token"
    }

    private fun Transition.with(vararg more: LifecycleCommand) = copy(commands = commands + more)

    private companion object {
        /** Limit of events that are buffered while an earlier token is missing; beyond it the attempt fails. */
        const val MAX_BUFFERED_EVENTS = 32

        fun expired() = Refusal(RefusalReason.DEADLINE, CallOutcome.NOT_RUN, "The deadline has passed.")
    }
}

/** Returns the refusal of a request that failed after it may have run and is not retried any more. */
internal fun backendFailed(): Refusal =
    Refusal(
        RefusalReason.BACKEND_FAILED,
        CallOutcome.UNKNOWN,
        "The request failed before its answer was complete.",
        retryAfterMs = 1_000,
    )
