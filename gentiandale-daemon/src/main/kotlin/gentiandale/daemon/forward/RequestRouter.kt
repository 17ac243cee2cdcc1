package gentiandale.daemon.forward

import gentiandale.core.CallOutcome
import gentiandale.core.Clock
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.VmId
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.Completion
import gentiandale.daemon.request.RequestJournal
import gentiandale.daemon.request.backendFailed
import gentiandale.route.RetryBudget
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import org.slf4j.LoggerFactory

/**
 * Runs requests at the owner of their servers, which is this VM or another one. A request whose owner is lost goes to
 * another owner and resumes at the first missing token, if the retry budget allows.
 */
internal class RequestRouter(
    private val ownerLookup: OwnerLookup,
    private val client: ForwardClient,
    private val budget: RetryBudget,
    private val journal: RequestJournal,
    private val clock: Clock,
    private val runLocally: (Completion) -> Flow<Answer>,
) {
    private val log = LoggerFactory.getLogger("gentiandale.forward")

    /** Runs [completion]. The flow ends with the final answer; cancelling it cancels the work. */
    fun answers(completion: Completion): Flow<Answer> = flow {
        val tried = mutableSetOf<VmId>()
        var remaining: Completion? = completion
        while (remaining != null) {
            remaining = when (val owner = ownerLookup.ownerOf(completion.route.model, tried)) {
                OwnerChoice.Local -> finish(runLocally(remaining))
                OwnerChoice.Unreachable -> finish(flowOf(Answer.Refused(noOwnerRefusal(remaining))))
                is OwnerChoice.Remote -> {
                    tried += owner.vm
                    runAt(owner.vm, remaining, mayDecline = tried.size <= MAX_DECLINES)
                }
            }
        }
    }

    private suspend fun FlowCollector<Answer>.finish(answers: Flow<Answer>): Completion? {
        emitAll(answers)
        return null
    }

    /**
     * Runs [remaining] at its owner [vm] and returns what remains for the next owner, or null if it has ended. If
     * [mayDecline], a refusal because [vm] is draining or has no server is not emitted, and [remaining] is returned.
     */
    private suspend fun FlowCollector<Answer>.runAt(vm: VmId, remaining: Completion, mayDecline: Boolean): Completion? {
        val request = remaining.route.request
        log.info("Forwarded request {} to {}, the owner of the servers of {}.", request, vm, remaining.route.model)
        journal.recordForwarded(request, vm)
        var next = remaining.firstIndex
        var declined = false
        try {
            client.forward(vm, remaining).collect { answer ->
                if (answer is Answer.Token) next = answer.index + 1
                declined = mayDecline && isDeclined(answer)
                if (!declined) emit(if (remaining.attemptBase > 0) afterOtherOwner(answer) else answer)
            }
        } catch (e: OwnerLostException) {
            return ownerLost(e, resumedAt(remaining, next))
        }
        return if (declined) remaining else null
    }

    private suspend fun FlowCollector<Answer>.ownerLost(lost: OwnerLostException, remaining: Completion): Completion? {
        log.info(
            "Lost owner {} of request {} before token {}.",
            lost.owner,
            remaining.route.request,
            remaining.firstIndex,
        )
        journal.record(remaining.route.request, "Lost owner ${lost.owner} before token ${remaining.firstIndex}.")
        if (budget.take()) return remaining
        emit(Answer.Refused(backendFailed()))
        return null
    }

    /** Returns [completion] from token [next] on. Its time to the first token counts from now. */
    private fun resumedAt(completion: Completion, next: Int) = completion.copy(
        route = completion.route.copy(arrivedMs = clock.monotonicMs()),
        firstIndex = next,
        attemptBase = completion.attemptBase + MAX_ATTEMPTS_PER_OWNER,
    )

    /** Returns [answer] of an owner after that of another one, which may have run the request. */
    private fun afterOtherOwner(answer: Answer): Answer = when (answer) {
        is Answer.Refused -> Answer.Refused(answer.refusal.copy(outcome = CallOutcome.UNKNOWN))
        is Answer.Finished, is Answer.Token -> answer
    }

    private fun isDeclined(answer: Answer) = answer is Answer.Refused &&
        answer.refusal.outcome == CallOutcome.NOT_RUN &&
        (answer.refusal.reason == RefusalReason.DRAINING || answer.refusal.reason == RefusalReason.NO_SERVER)

    private fun noOwnerRefusal(completion: Completion) = Refusal(
        RefusalReason.NO_SERVER,
        if (completion.attemptBase > 0) CallOutcome.UNKNOWN else CallOutcome.NOT_RUN,
        "No VM that owns the servers of ${completion.route.model} can be reached.",
        RETRY_AFTER_MS,
    )

    private companion object {
        /** Upper bound of the attempts of one owner; keeps the attempt numbers of two owners apart. */
        const val MAX_ATTEMPTS_PER_OWNER = 1_000
        const val MAX_DECLINES = 2
        const val RETRY_AFTER_MS = 1_000L
    }
}
