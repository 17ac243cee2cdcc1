package gentiandale.state

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.state.raft.VoterOutcome
import gentiandale.state.raft.VoterReplacement
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch

/** Sends a request to one voter. Returns null if it does not answer within the timeout in milliseconds. */
internal fun interface VoterCall {
    suspend fun ask(voter: VmId, request: StoreRequest, timeoutMs: Long): StoreAnswer?
}

/**
 * Client that finds the leader among the VMs in [voters] and sends requests to it. A request with side effects goes
 * only to a VM that has recently confirmed that it is the leader. A caller that reaches no voter therefore knows that
 * its command was not accepted.
 */
internal class StoreClient(
    private val voters: () -> Collection<VmId>,
    private val clock: Clock,
    private val call: VoterCall,
) {
    @Volatile
    private var knownLeader: VmId? = null

    @Volatile
    private var knownLeaderUntilMs = Long.MIN_VALUE

    suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome {
        val endMs = clock.monotonicMs() + timeoutMs
        var reason = "No leader found among the voters within $timeoutMs ms."
        var mayBeCommitted = false
        while (true) {
            val leader = findLeader(endMs)
            val leftMs = endMs - clock.monotonicMs()
            if (leader == null || leftMs <= 0) break
            val attemptMs = minOf(leftMs, ATTEMPT_TIMEOUT_MS)
            val answer = call.ask(leader, StoreRequest.Submit(command, attemptMs), attemptMs)
            when (answer) {
                is StoreAnswer.Done -> return onCommitted(answer.reply)
                is StoreAnswer.NotAccepted -> reason = answer.reason
                is StoreAnswer.Leader -> reason = "$leader is no longer the leader."
                is StoreAnswer.NotKnown, is StoreAnswer.Voters, is StoreAnswer.Changes, null -> {
                    mayBeCommitted = true
                    reason = (answer as? StoreAnswer.NotKnown)?.reason ?: "$leader did not answer within $attemptMs ms."
                }
            }
            invalidateLeader()
            if (mayBeCommitted && command is StoreCommand.ClaimKey) break
            delay(RETRY_DELAY_MS)
        }
        return if (mayBeCommitted) SubmitOutcome.NotKnown(reason) else SubmitOutcome.NotAccepted(reason)
    }

    suspend fun replaceVoter(plan: VoterReplacement, timeoutMs: Long): VoterOutcome {
        val endMs = clock.monotonicMs() + timeoutMs
        val leader = findLeader(endMs) ?: return VoterOutcome.NotAccepted("No leader found within $timeoutMs ms.")
        val leftMs = endMs - clock.monotonicMs()
        return when (val answer = call.ask(leader, StoreRequest.ReplaceVoter(plan.add, plan.remove, leftMs), leftMs)) {
            is StoreAnswer.Voters -> answer.outcome
            is StoreAnswer.Leader -> VoterOutcome.NotAccepted("$leader is no longer the leader.")
            else -> VoterOutcome.NotKnown("$leader did not answer within $leftMs ms.")
        }
    }

    suspend fun history(limit: Int, timeoutMs: Long): List<Change>? {
        val leader = findLeader(clock.monotonicMs() + timeoutMs) ?: return null
        return (call.ask(leader, StoreRequest.History(limit), timeoutMs) as? StoreAnswer.Changes)?.changes
    }

    /** Returns a VM that confirms that it is the leader, or null if none does until [endMs]. */
    private suspend fun findLeader(endMs: Long): VmId? {
        if (clock.monotonicMs() < knownLeaderUntilMs) return knownLeader
        while (clock.monotonicMs() < endMs) {
            val hint = firstLeaderHint(endMs)
            if (hint != null && queryLeader(hint, endMs)?.leader == hint) return hint.also(::cacheLeader)
            delay(RETRY_DELAY_MS)
        }
        return null
    }

    /** Queries all VMs in parallel, so that unreachable ones cause no delay, and returns the first leader named. */
    private suspend fun firstLeaderHint(endMs: Long): VmId? = coroutineScope {
        val first = CompletableDeferred<VmId?>()
        val queries = voters().map { vm -> launch { queryLeader(vm, endMs)?.leader?.let(first::complete) } }
        val fallback = launch {
            queries.joinAll()
            first.complete(null)
        }
        first.await().also {
            fallback.cancel()
            queries.forEach(Job::cancel)
        }
    }

    private suspend fun queryLeader(voter: VmId, endMs: Long): StoreAnswer.Leader? {
        val leftMs = endMs - clock.monotonicMs()
        if (leftMs <= 0) return null
        return call.ask(voter, StoreRequest.GetLeader, minOf(leftMs, QUERY_TIMEOUT_MS)) as? StoreAnswer.Leader
    }

    private fun onCommitted(reply: StoreReply): SubmitOutcome {
        knownLeader?.let(::cacheLeader)
        return SubmitOutcome.Done(reply)
    }

    private fun cacheLeader(leader: VmId) {
        knownLeader = leader
        knownLeaderUntilMs = clock.monotonicMs() + LEADER_CACHE_MS
    }

    private fun invalidateLeader() {
        knownLeaderUntilMs = Long.MIN_VALUE
    }

    private companion object {
        const val ATTEMPT_TIMEOUT_MS = 1_500L
        const val QUERY_TIMEOUT_MS = 300L
        const val RETRY_DELAY_MS = 50L
        const val LEADER_CACHE_MS = 1_000L
    }
}
