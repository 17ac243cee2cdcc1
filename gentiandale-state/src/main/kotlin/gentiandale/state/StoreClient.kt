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

/** Asks one voter; null if no answer came within the time in milliseconds. */
internal fun interface VoterCall {
    suspend fun ask(voter: VmId, request: StoreRequest, timeoutMs: Long): StoreAnswer?
}

/**
 * Finds the leader among the VMs that [voters] gives and submits to it. A request with an effect is sent only to a VM
 * that has just said that it leads, so that a VM that reaches no voter knows that nothing was accepted.
 */
internal class StoreClient(
    private val voters: () -> Collection<VmId>,
    private val clock: Clock,
    private val call: VoterCall,
) {
    @Volatile
    private var known: VmId? = null

    @Volatile
    private var knownUntilMs = Long.MIN_VALUE

    suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome {
        val endMs = clock.monotonicMs() + timeoutMs
        var reason = "No voter answers."
        var uncertain = false
        while (true) {
            val leader = findLeader(endMs)
            val leftMs = endMs - clock.monotonicMs()
            if (leader == null || leftMs <= 0) break
            val attemptMs = minOf(leftMs, ATTEMPT_MS)
            val answer = call.ask(leader, StoreRequest.Submit(command, attemptMs), attemptMs)
            when (answer) {
                is StoreAnswer.Done -> return done(answer.reply)
                is StoreAnswer.NotAccepted -> reason = answer.reason
                is StoreAnswer.Leader -> reason = "The leader is changing."
                is StoreAnswer.NotKnown, is StoreAnswer.Voters, is StoreAnswer.Changes, null -> {
                    uncertain = true
                    reason = (answer as? StoreAnswer.NotKnown)?.reason ?: "$leader did not answer."
                }
            }
            forget()
            if (uncertain && command is StoreCommand.ClaimKey) break
            delay(RETRY_MS)
        }
        return if (uncertain) SubmitOutcome.NotKnown(reason) else SubmitOutcome.NotAccepted(reason)
    }

    suspend fun replaceVoter(wish: VoterReplacement, timeoutMs: Long): VoterOutcome {
        val endMs = clock.monotonicMs() + timeoutMs
        val leader = findLeader(endMs) ?: return VoterOutcome.NotAccepted("No voter leads.")
        val leftMs = endMs - clock.monotonicMs()
        return when (val answer = call.ask(leader, StoreRequest.ReplaceVoter(wish.add, wish.remove, leftMs), leftMs)) {
            is StoreAnswer.Voters -> answer.outcome
            is StoreAnswer.Leader -> VoterOutcome.NotAccepted("The leader is changing.")
            else -> VoterOutcome.NotKnown("$leader did not answer in time.")
        }
    }

    suspend fun history(limit: Int, timeoutMs: Long): List<Change>? {
        val leader = findLeader(clock.monotonicMs() + timeoutMs) ?: return null
        return (call.ask(leader, StoreRequest.History(limit), timeoutMs) as? StoreAnswer.Changes)?.changes
    }

    /** Returns a VM that says that it leads, or null if none does until [endMs]. */
    private suspend fun findLeader(endMs: Long): VmId? {
        if (clock.monotonicMs() < knownUntilMs) return known
        while (clock.monotonicMs() < endMs) {
            val hint = firstHint(endMs)
            if (hint != null && ask(hint, endMs)?.leader == hint) return hint.also(::remember)
            delay(RETRY_MS)
        }
        return null
    }

    /** Asks all VMs at once, so that a silent one costs no time, and returns the first that is named. */
    private suspend fun firstHint(endMs: Long): VmId? = coroutineScope {
        val first = CompletableDeferred<VmId?>()
        val asked = voters().map { vm -> launch { ask(vm, endMs)?.leader?.let(first::complete) } }
        val end = launch {
            asked.joinAll()
            first.complete(null)
        }
        first.await().also {
            end.cancel()
            asked.forEach(Job::cancel)
        }
    }

    private suspend fun ask(voter: VmId, endMs: Long): StoreAnswer.Leader? {
        val leftMs = endMs - clock.monotonicMs()
        if (leftMs <= 0) return null
        return call.ask(voter, StoreRequest.GetLeader, minOf(leftMs, PROBE_MS)) as? StoreAnswer.Leader
    }

    private fun done(reply: StoreReply): SubmitOutcome {
        known?.let(::remember)
        return SubmitOutcome.Done(reply)
    }

    private fun remember(leader: VmId) {
        known = leader
        knownUntilMs = clock.monotonicMs() + REMEMBER_MS
    }

    private fun forget() {
        knownUntilMs = Long.MIN_VALUE
    }

    private companion object {
        const val ATTEMPT_MS = 1_500L
        const val PROBE_MS = 300L
        const val RETRY_MS = 50L
        const val REMEMBER_MS = 1_000L
    }
}
