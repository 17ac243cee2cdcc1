package gentiandale.daemon.request

import gentiandale.core.Board
import gentiandale.core.CallOutcome
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.ServerId
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.PrefillRequest
import gentiandale.route.Effect
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/** Runs the [RequestLifecycle] of one request: applies events in order and executes the resulting commands. */
internal class RequestRun(private val completion: Completion, private val deps: RequestDependencies) {
    private val log = LoggerFactory.getLogger("gentiandale.request")
    private val id = completion.route.request
    private val events = Channel<LifecycleEvent>(Channel.UNLIMITED)
    private var current =
        RequestLifecycle(id, completion.attemptBase, completion.firstIndex, mayHaveRun = completion.attemptBase > 0)
    private var callJob: Job? = null
    private val timer = StepTimer(
        scope = deps.scope,
        clock = deps.clock,
        deadlineMs = completion.route.deadlineMs,
        limits = deps.limits,
        onStepTimeout = { post(LifecycleEvent.TimedOut(it)) },
        onDeadline = { post(LifecycleEvent.Expired) },
    )

    /**
     * Runs the request and emits its answers up to the final one. Cancelling the flow cancels the request at its
     * servers and at the routing policy.
     */
    fun answers(): Flow<Answer> = flow {
        if (!deps.dispatcher.submit(completion.route, ::onEffect)) {
            emit(Answer.Refused(inProgress()))
            return@flow
        }
        deps.budget.recordSubmission()
        timer.start()
        try {
            while (current.state !is RequestState.Ended) {
                advance(events.receive()).forEach { emit(it) }
            }
        } finally {
            advance(LifecycleEvent.CallerLeft)
            timer.stop()
            callJob?.cancel()
        }
    }

    private fun post(event: LifecycleEvent) {
        events.trySend(event)
    }

    private fun onEffect(effect: Effect) = when (effect) {
        is Effect.Place -> post(placed(effect))
        is Effect.Refuse -> post(LifecycleEvent.PolicyRefused(effect.refusal))
        is Effect.Preempt -> post(LifecycleEvent.Preempted(effect.attempt))
    }

    private fun placed(effect: Effect.Place): LifecycleEvent {
        val prefill = targetOf(effect.pair.prefill)
        val decode = targetOf(effect.pair.decode)
        if (prefill != null && decode != null) return LifecycleEvent.Placed(Placement(effect.attempt, prefill, decode))
        val missing = if (prefill == null) effect.pair.prefill else effect.pair.decode
        return LifecycleEvent.Unplaceable(effect.attempt, missing)
    }

    private fun targetOf(server: ServerId): Target? =
        deps.board[Board.SERVERS][server]?.let { Target(server, it.facts.address) }

    private fun advance(event: LifecycleEvent): List<Answer> {
        val before = current.state
        val transition = current.advance(event, deps.budget.hasRetry)
        current = transition.next
        if (current.state.javaClass != before.javaClass) deps.journal.record(id, "State: ${current.state.describe()}.")
        return transition.commands.mapNotNull(::execute)
    }

    private fun execute(command: LifecycleCommand): Answer? {
        when (command) {
            is LifecycleCommand.Deliver -> return command.answer
            is LifecycleCommand.Prefill -> call(command.placement) { prefill(command.placement) }
            is LifecycleCommand.Decode -> call(command.placement) { decode(command) }
            LifecycleCommand.AbortCalls -> callJob?.cancel()
            is LifecycleCommand.Cancel ->
                deps.cancels.add(command.target, id, command.engineAttempt, completion.route.deadlineMs)
            is LifecycleCommand.NotifyPolicy -> deps.dispatcher.progress(command.event)
            is LifecycleCommand.StartTimer -> timer.startStep(command.step, command.timerId)
            LifecycleCommand.StopTimer -> timer.stopStep()
            is LifecycleCommand.CountAnomaly -> deps.counters.add(command.kind)
            LifecycleCommand.SpendRetry -> deps.budget.take()
            is LifecycleCommand.RecordFailure -> recordFailure(command)
        }
        return null
    }

    private fun recordFailure(failure: LifecycleCommand.RecordFailure) {
        log.info("Attempt {} of {} failed at {}: {}.", failure.attempt, id, failure.server, failure.reason)
        deps.journal.record(id, "Attempt ${failure.attempt} failed at ${failure.server}: ${failure.reason}.")
    }

    private fun call(placement: Placement, action: suspend () -> Unit) {
        callJob = deps.scope.launch {
            try {
                action()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                post(LifecycleEvent.StepFailed(placement.attempt, e.message ?: e.javaClass.name))
            }
        }
    }

    private suspend fun prefill(placement: Placement) {
        post(LifecycleEvent.PrefillSent(placement.attempt))
        val reply = deps.engines.prefill(placement.prefill.address, prefillRequest(placement))
        post(LifecycleEvent.PrefillReplied(placement.attempt, reply))
    }

    private suspend fun decode(command: LifecycleCommand.Decode) {
        val placement = command.placement
        val onOpened = { post(LifecycleEvent.DecodeOpened(placement.attempt)) }
        deps.engines.decode(placement.decode.address, decodeRequest(command), onOpened).collect {
            post(LifecycleEvent.DecodeReceived(it))
        }
        post(LifecycleEvent.StepFailed(placement.attempt, "the decode stream ended without its final event"))
    }

    private fun remainingMs(): Long = completion.route.deadlineMs - deps.clock.monotonicMs()

    private fun prefillRequest(placement: Placement) = PrefillRequest(
        request = id,
        attempt = current.engineAttempt(placement.attempt),
        model = completion.route.model,
        adapter = completion.route.adapter,
        prompt = completion.prompt,
        priority = completion.priority,
        deadlineMs = remainingMs(),
    )

    private fun decodeRequest(command: LifecycleCommand.Decode) = DecodeRequest(
        request = id,
        attempt = current.engineAttempt(command.placement.attempt),
        model = completion.route.model,
        adapter = completion.route.adapter,
        prompt = completion.prompt,
        kvSource = command.placement.prefill.address.toString(),
        kvHandle = command.handle,
        maxTokens = completion.route.maxTokens,
        firstIndex = command.firstIndex,
        priority = completion.priority,
        deadlineMs = remainingMs(),
    )

    private fun inProgress() = Refusal(
        RefusalReason.IN_PROGRESS,
        CallOutcome.UNKNOWN,
        "Another request with this id is running.",
        IN_PROGRESS_RETRY_MS,
    )

    private companion object {
        const val IN_PROGRESS_RETRY_MS = 1_000L
    }
}

private fun RequestState.describe(): String = when (this) {
    RequestState.Queued -> "queued"
    is RequestState.Placed -> "placed on ${placement.prefill.server} and ${placement.decode.server}"
    is RequestState.Prefilling -> "prefilling"
    is RequestState.Transferring -> "transferring"
    is RequestState.Decoding -> "decoding"
    RequestState.Answered -> "answered"
    RequestState.Refused -> "refused"
    RequestState.Cancelled -> "cancelled"
}
