package gentiandale.state.raft

import gentiandale.core.VmId
import kotlin.random.Random

/**
 * Agreement of a majority of the initial VMs on the first voters of the group, by single-decree Paxos. It tolerates
 * that a minority of them is lost for good, at any step, and that the others crash and restart with their disks. All
 * initial VMs that run become voters, so that the group tolerates losses from its first entry on. Times are monotonic
 * milliseconds.
 *
 * The caller makes [state] durable before it sends [takeMessages], and calls [tick] until [decided] is set.
 */
internal class GroupFounding(
    private val self: Member,
    recovered: FoundingState,
    private val random: Random,
    startMs: Long,
) {
    /** Durable state of this member. */
    var state = recovered
        private set

    /** Proposal that a majority has accepted; null while unknown. */
    var decided: FoundingProposal? = null
        private set

    /** Whether this member's own attempt was the one that a majority accepted. */
    var isFounder = false
        private set

    private val quorum = state.initial.size / 2 + 1
    private val heard = hashMapOf(self.vm to self)
    private val heardMs = HashMap<VmId, Long>()
    private val messages = ArrayList<Pair<VmId, FoundingMessage>>()
    private var attempt: Attempt? = null
    private var quorumMs: Long? = null
    private var nextAttemptMs = startMs

    /** Records that [member] runs with its current data folder. */
    fun onHeard(member: Member, nowMs: Long) {
        heard[member.vm] = member
        heardMs[member.vm] = nowMs
    }

    /** Returns the messages to send and clears them. */
    fun takeMessages(): List<Pair<VmId, FoundingMessage>> = messages.toList().also { messages.clear() }

    /** Starts an attempt if one is due. */
    fun tick(nowMs: Long) {
        if (decided != null) return
        val reachable = state.initial.filter {
            it == self.vm || nowMs - (heardMs[it] ?: return@filter false) < HEARD_MS
        }
        if (reachable.size < quorum) {
            quorumMs = null
            return
        }
        val sinceMs = quorumMs ?: nowMs.also { quorumMs = it }
        val missingMs = if (reachable.size == state.initial.size) 0 else MISSING_WAIT_MS
        val dueMs = sinceMs + missingMs + reachable.indexOf(self.vm) * RANK_DELAY_MS
        if (nowMs >= maxOf(dueMs, nextAttemptMs)) startAttempt(nowMs)
    }

    /** Handles [message] of the member [from]. */
    fun receive(from: Member, message: FoundingMessage) {
        when (message) {
            is FoundingMessage.Prepare -> onPrepare(from.vm, message.ballot)
            is FoundingMessage.Promise -> onPromise(from, message)
            is FoundingMessage.Accept -> onAccept(from.vm, message)
            is FoundingMessage.Accepted -> onAccepted(from, message.ballot)
            is FoundingMessage.Rejected -> onRejected(message.promised)
            is FoundingMessage.Decided -> decided = message.proposal
        }
    }

    private fun startAttempt(nowMs: Long) {
        nextAttemptMs = nowMs + random.nextLong(RETRY_MIN_MS, RETRY_MAX_MS)
        val ballot = FoundingBallot((state.promised?.round ?: 0) + 1, self.vm)
        attempt = Attempt(ballot)
        state = state.copy(promised = ballot)
        others().forEach { messages += it to FoundingMessage.Prepare(ballot) }
        onPromise(self, FoundingMessage.Promise(ballot, state.accepted))
    }

    private fun onPrepare(from: VmId, ballot: FoundingBallot) {
        val promised = state.promised
        val known = decided
        messages += from to when {
            known != null -> FoundingMessage.Decided(known)
            promised != null && promised > ballot -> FoundingMessage.Rejected(promised)
            else -> {
                state = state.copy(promised = ballot)
                FoundingMessage.Promise(ballot, state.accepted)
            }
        }
    }

    private fun onPromise(from: Member, promise: FoundingMessage.Promise) {
        val current = attempt?.takeIf { it.ballot == promise.ballot && it.proposal == null } ?: return
        current.promises[from] = promise.accepted
        heard[from.vm] = from
        if (current.promises.size < quorum) return
        val proposal = current.promises.values.filterNotNull().maxByOrNull { it.ballot }?.proposal
            ?: FoundingProposal(
                GroupId("g-${self.voter}-${current.ballot.round}"),
                state.initial.mapNotNull(heard::get),
            )
        current.proposal = proposal
        others().forEach { messages += it to FoundingMessage.Accept(current.ballot, proposal) }
        if ((state.promised ?: current.ballot) > current.ballot) return
        state = state.copy(accepted = AcceptedProposal(current.ballot, proposal))
        onAccepted(self, current.ballot)
    }

    private fun onAccept(from: VmId, accept: FoundingMessage.Accept) {
        val promised = state.promised
        if (promised != null && promised > accept.ballot) {
            messages += from to FoundingMessage.Rejected(promised)
            return
        }
        state = state.copy(promised = accept.ballot, accepted = AcceptedProposal(accept.ballot, accept.proposal))
        messages += from to FoundingMessage.Accepted(accept.ballot)
    }

    private fun onAccepted(from: Member, ballot: FoundingBallot) {
        val current = attempt?.takeIf { it.ballot == ballot } ?: return
        current.accepted += from
        val proposal = current.proposal ?: return
        if (decided != null || current.accepted.size < quorum) return
        decided = proposal
        isFounder = true
        others().forEach { messages += it to FoundingMessage.Decided(proposal) }
    }

    private fun onRejected(promised: FoundingBallot) {
        if (state.promised?.let { it < promised } != false) state = state.copy(promised = promised)
    }

    private fun others() = state.initial.filter { it != self.vm }

    private class Attempt(val ballot: FoundingBallot) {
        val promises = HashMap<Member, AcceptedProposal?>()
        val accepted = HashSet<Member>()
        var proposal: FoundingProposal? = null
    }

    private companion object {
        /** Time in milliseconds for which a VM counts as running after a message. */
        const val HEARD_MS = 1_500L

        /** Time in milliseconds that a majority waits for the other initial VMs, so that they become voters too. */
        const val MISSING_WAIT_MS = 1_000L

        /** Delay in milliseconds of each further VM, so that attempts seldom compete. */
        const val RANK_DELAY_MS = 300L

        /** Bounds in milliseconds of the time until an attempt without outcome is repeated. */
        const val RETRY_MIN_MS = 500L
        const val RETRY_MAX_MS = 900L
    }
}
