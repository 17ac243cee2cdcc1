package gentiandale.daemon.forward

import gentiandale.core.CallOutcome
import gentiandale.core.Clock
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.VmId
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.RequestJournal
import gentiandale.daemon.request.Work
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
    private val runLocally: (Work) -> Flow<Answer>,
) {
    private val log = LoggerFactory.getLogger("gentiandale.forward")

    /** Runs [work]. The flow ends with the final answer; cancelling it cancels the work. */
    fun answers(work: Work): Flow<Answer> = flow {
        val tried = mutableSetOf<VmId>()
        var remaining: Work? = work
        while (remaining != null) {
            remaining = when (val owner = ownerLookup.ownerOf(work.route.model, tried)) {
                OwnerChoice.Local -> finish(runLocally(remaining))
                OwnerChoice.Unreachable -> finish(flowOf(Answer.Refused(noOwnerRefusal(remaining))))
                is OwnerChoice.Remote -> {
                    tried += owner.vm
                    runAt(owner.vm, remaining, mayDecline = tried.size <= MAX_DECLINES)
                }
            }
        }
    }

    private suspend fun FlowCollector<Answer>.finish(answers: Flow<Answer>): Work? {
        emitAll(answers)
        return null
    }

    /**
     * Runs [work] at [owner] and returns the work that remains for the next owner, or null if it has ended. If
     * [mayDecline], a refusal by an owner that is draining or has no server is not emitted, and all work remains.
     */
    private suspend fun FlowCollector<Answer>.runAt(owner: VmId, work: Work, mayDecline: Boolean): Work? {
        val request = work.route.request
        log.info("Forwarded request {} to {}, the owner of the servers of {}.", request, owner, work.route.model)
        journal.recordForwarded(request, owner)
        var next = work.firstIndex
        var declined = false
        try {
            client.forward(owner, work).collect { answer ->
                if (answer is Answer.Token) next = answer.index + 1
                declined = mayDecline && isDeclined(answer)
                if (!declined) emit(answer)
            }
        } catch (e: OwnerLostException) {
            return afterOwnerLoss(e, remainingWork(work, next))
        }
        return if (declined) work else null
    }

    private suspend fun FlowCollector<Answer>.afterOwnerLoss(lost: OwnerLostException, remaining: Work): Work? {
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

    /** Returns [work] from token [next] on. Its time to the first token counts from now. */
    private fun remainingWork(work: Work, next: Int) = work.copy(
        route = work.route.copy(arrivedMs = clock.monotonicMs()),
        firstIndex = next,
        attemptBase = work.attemptBase + MAX_ATTEMPTS_PER_OWNER,
    )

    private fun isDeclined(answer: Answer) = answer is Answer.Refused &&
        answer.refusal.outcome == CallOutcome.NOT_RUN &&
        (answer.refusal.reason == RefusalReason.DRAINING || answer.refusal.reason == RefusalReason.NO_SERVER)

    private fun noOwnerRefusal(work: Work) = Refusal(
        RefusalReason.NO_SERVER,
        if (work.attemptBase > 0) CallOutcome.UNKNOWN else CallOutcome.NOT_RUN,
        "No VM that owns the servers of ${work.route.model} can be reached.",
        RETRY_AFTER_MS,
    )

    private companion object {
        /** Upper bound of the attempts of one owner; keeps the attempt numbers of two owners apart. */
        const val MAX_ATTEMPTS_PER_OWNER = 1_000
        const val MAX_DECLINES = 2
        const val RETRY_AFTER_MS = 1_000L
    }
}
