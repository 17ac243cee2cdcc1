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

/** Runs the state machine of one request: takes events in turn and executes the commands that they lead to. */
internal class RequestRun(private val work: Work, private val parts: RequestParts) {
    private val log = LoggerFactory.getLogger("gentiandale.request")
    private val id = work.route.request
    private val events = Channel<LifeEvent>(Channel.UNLIMITED)
    private var life = RequestLife(id, work.attemptBase, work.firstIndex, mayHaveRun = work.attemptBase > 0)
    private var calls: Job? = null
    private val timer = StepTimer(
        scope = parts.scope,
        clock = parts.clock,
        deadlineMs = work.route.deadlineMs,
        limits = parts.limits,
        onStep = { post(LifeEvent.TimedOut(it)) },
        onDeadline = { post(LifeEvent.Expired) },
    )

    /** Runs the request. The flow ends with the final answer; cancelling it gives back everything held. */
    fun answers(): Flow<Answer> = flow {
        if (!parts.dispatcher.submit(work.route, ::onEffect)) {
            emit(Answer.Refused(inProgress()))
            return@flow
        }
        parts.budget.recordSubmission()
        timer.start()
        try {
            while (life.state !is RequestState.Ended) {
                advance(events.receive()).forEach { emit(it) }
            }
        } finally {
            advance(LifeEvent.CallerLeft)
            timer.stop()
            calls?.cancel()
        }
    }

    private fun post(event: LifeEvent) {
        events.trySend(event)
    }

    private fun onEffect(effect: Effect) = when (effect) {
        is Effect.Place -> post(placed(effect))
        is Effect.Refuse -> post(LifeEvent.PolicyRefused(effect.refusal))
        is Effect.Preempt -> post(LifeEvent.Preempted(effect.attempt))
    }

    private fun placed(effect: Effect.Place): LifeEvent {
        val prefill = targetOf(effect.pair.prefill)
        val decode = targetOf(effect.pair.decode)
        if (prefill != null && decode != null) return LifeEvent.Placed(Placement(effect.attempt, prefill, decode))
        val gone = if (prefill == null) effect.pair.prefill else effect.pair.decode
        return LifeEvent.Unplaceable(effect.attempt, gone)
    }

    private fun targetOf(server: ServerId): Target? =
        parts.board[Board.SERVERS][server]?.let { Target(server, it.facts.address) }

    private fun advance(event: LifeEvent): List<Answer> {
        val before = life.state
        val step = life.advance(event, parts.budget.hasRetry)
        life = step.life
        if (life.state.javaClass != before.javaClass) parts.journal.record(id, "State: ${life.state.describe()}.")
        return step.commands.mapNotNull(::execute)
    }

    private fun execute(command: LifeCommand): Answer? {
        when (command) {
            is LifeCommand.Deliver -> return command.answer
            is LifeCommand.Prefill -> call(command.placement) { prefill(command.placement) }
            is LifeCommand.Decode -> call(command.placement) { decode(command) }
            LifeCommand.AbortCalls -> calls?.cancel()
            is LifeCommand.CancelAt ->
                parts.cancels.add(command.target, id, command.engineAttempt, work.route.deadlineMs)
            is LifeCommand.Tell -> parts.dispatcher.progress(command.event)
            is LifeCommand.Watch -> timer.watch(command.step, command.watch)
            LifeCommand.Unwatch -> timer.unwatch()
            is LifeCommand.Drop -> parts.counters.add(command.kind)
            LifeCommand.SpendRetry -> parts.budget.take()
            is LifeCommand.NoteFailure -> noteFailure(command)
        }
        return null
    }

    private fun noteFailure(failure: LifeCommand.NoteFailure) {
        log.info("Attempt {} of {} failed at {}. Why: {}.", failure.attempt, id, failure.at, failure.why)
        parts.journal.record(id, "Attempt ${failure.attempt} failed at ${failure.at}: ${failure.why}.")
    }

    private fun call(placement: Placement, action: suspend () -> Unit) {
        calls = parts.scope.launch {
            try {
                action()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                post(LifeEvent.StepFailed(placement.attempt, e.message ?: e.javaClass.name))
            }
        }
    }

    private suspend fun prefill(placement: Placement) {
        post(LifeEvent.PrefillSent(placement.attempt))
        val reply = parts.engines.prefill(placement.prefill.address, prefillRequest(placement))
        post(LifeEvent.PrefillReplied(placement.attempt, reply))
    }

    private suspend fun decode(command: LifeCommand.Decode) {
        val placement = command.placement
        val opened = { post(LifeEvent.DecodeOpened(placement.attempt)) }
        parts.engines.decode(placement.decode.address, decodeRequest(command), opened).collect {
            post(LifeEvent.DecodeArrived(it))
        }
        post(LifeEvent.StepFailed(placement.attempt, "the stream ended early"))
    }

    private fun remainingMs(): Long = work.route.deadlineMs - parts.clock.monotonicMs()

    private fun prefillRequest(placement: Placement) = PrefillRequest(
        request = id,
        attempt = life.engineAttempt(placement.attempt),
        model = work.route.model,
        adapter = work.route.adapter,
        prompt = work.prompt,
        priority = work.priority,
        deadlineMs = remainingMs(),
    )

    private fun decodeRequest(command: LifeCommand.Decode) = DecodeRequest(
        request = id,
        attempt = life.engineAttempt(command.placement.attempt),
        model = work.route.model,
        adapter = work.route.adapter,
        prompt = work.prompt,
        kvSource = command.placement.prefill.address.toString(),
        kvHandle = command.handle,
        maxTokens = work.route.maxTokens,
        firstIndex = command.firstIndex,
        priority = work.priority,
        deadlineMs = remainingMs(),
    )

    private fun inProgress() = Refusal(
        RefusalReason.IN_PROGRESS,
        CallOutcome.UNKNOWN,
        "A request with this id is running.",
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
