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
 * Runs requests at the owner of their servers, here or at another VM. A request whose owner is lost goes to the next
 * owner and resumes at the first missing token, within the retry budget.
 */
internal class RequestRouter(
    private val owners: OwnerLookup,
    private val client: ForwardClient,
    private val budget: RetryBudget,
    private val journal: RequestJournal,
    private val clock: Clock,
    private val local: (Work) -> Flow<Answer>,
) {
    private val log = LoggerFactory.getLogger("gentiandale.forward")

    /** Runs [work]. The flow ends with the final answer; cancelling it ends the work. */
    fun answers(work: Work): Flow<Answer> = flow {
        val except = mutableSetOf<VmId>()
        var rest: Work? = work
        while (rest != null) {
            rest = when (val owner = owners.ownerOf(work.route.model, except)) {
                OwnerChoice.Here -> finish(local(rest))
                OwnerChoice.Nowhere -> finish(flowOf(Answer.Refused(noOwner(rest))))
                is OwnerChoice.At -> {
                    except += owner.vm
                    runAt(owner.vm, rest, mayDecline = except.size <= MAX_DECLINED)
                }
            }
        }
    }

    private suspend fun FlowCollector<Answer>.finish(answers: Flow<Answer>): Work? {
        emitAll(answers)
        return null
    }

    /** Runs [work] at [owner] and returns what is left of it for the next owner, or null. */
    private suspend fun FlowCollector<Answer>.runAt(owner: VmId, work: Work, mayDecline: Boolean): Work? {
        val request = work.route.request
        log.info("Forwarded {} to {}. Why: it owns the servers of {}.", request, owner, work.route.model)
        journal.recordForwarded(request, owner)
        var next = work.firstIndex
        var declined = false
        try {
            client.forward(owner, work).collect { answer ->
                if (answer is Answer.Token) next = answer.index + 1
                declined = mayDecline && isDeclined(answer)
                if (!declined) emit(answer)
            }
        } catch (e: OwnerLost) {
            return afterLoss(e, restOf(work, next))
        }
        return if (declined) work else null
    }

    private suspend fun FlowCollector<Answer>.afterLoss(lost: OwnerLost, rest: Work): Work? {
        log.info("Lost {} for {} at token {}.", lost.owner, rest.route.request, rest.firstIndex)
        journal.record(rest.route.request, "Lost ${lost.owner} at token ${rest.firstIndex}.")
        if (budget.take()) return rest
        emit(Answer.Refused(backendFailed()))
        return null
    }

    /** Returns what is left of [work] from token [next] on. Its target for the first token counts from now. */
    private fun restOf(work: Work, next: Int) = work.copy(
        route = work.route.copy(arrivedMs = clock.monotonicMs()),
        firstIndex = next,
        attemptBase = work.attemptBase + ATTEMPTS_OF_ONE_OWNER,
    )

    private fun isDeclined(answer: Answer) = answer is Answer.Refused &&
        answer.refusal.outcome == CallOutcome.NOT_RUN &&
        (answer.refusal.reason == RefusalReason.DRAINING || answer.refusal.reason == RefusalReason.NO_SERVER)

    private fun noOwner(work: Work) = Refusal(
        RefusalReason.NO_SERVER,
        if (work.attemptBase > 0) CallOutcome.UNKNOWN else CallOutcome.NOT_RUN,
        "No VM that decides over the servers of ${work.route.model} can be reached.",
        RETRY_AFTER_MS,
    )

    private companion object {
        /** Attempts that one owner makes at most, so that the numbers of two owners differ. */
        const val ATTEMPTS_OF_ONE_OWNER = 1_000
        const val MAX_DECLINED = 2
        const val RETRY_AFTER_MS = 1_000L
    }
}
