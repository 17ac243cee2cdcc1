package gentiandale.state.raft

import gentiandale.state.log.RecoveredState
import gentiandale.state.log.StoredSnapshot
import kotlin.random.Random

private sealed interface Role {
    data object Follower : Role

    class Candidate(val preVote: Boolean, self: VoterId) : Role {
        val votes = mutableSetOf(self)
        var askedMs = 0L
    }

    class Leader(val leadership: Leadership) : Role
}

/**
 * Raft of one member, without I/O and threads: events go in by the methods, effects come out by [takeOutput].
 * Clock readings are arguments, in milliseconds of a monotonic clock.
 */
public class RaftCore(
    private val self: Member,
    private val settings: RaftSettings,
    random: Random,
    recovered: RecoveredState,
    nowMs: Long,
) {
    private val state = RaftState(self, settings, random, recovered, nowMs)
    private var role: Role = Role.Follower

    /** Group that this member belongs to, or null. */
    public val group: GroupId? get() = state.vote.group

    /** Present term. */
    public val term: Long get() = state.term

    /** Leader of the present term as far as known. */
    public val leader: Member? get() = state.leader

    /** Whether this member leads. */
    public val isLeader: Boolean get() = role is Role.Leader

    /** Membership in force here. */
    public val membership: Membership get() = state.log.membership

    /** Index of the entry that set [membership]. */
    public val membershipIndex: Long get() = state.log.membershipIndex

    /** Last committed index. */
    public val commitIndex: Long get() = state.commit

    /** Monotonic time at which a majority has last confirmed the commit index as far as it is known here. */
    public val confirmedMs: Long get() = (role as? Role.Leader)?.leadership?.confirmedMs ?: state.confirmedMs

    /** Returns and clears what is to be done. */
    public fun takeOutput(): RaftOutput = state.takeOutput()

    /** Notes that time has passed. */
    public fun tick(nowMs: Long) {
        state.nowMs = maxOf(state.nowMs, nowMs)
        when (val present = role) {
            is Role.Leader -> lead(present.leadership)
            is Role.Follower -> if (state.nowMs >= state.electionDueMs) askForElection()
            is Role.Candidate -> seekVotes(present)
        }
    }

    /** Founds [group] with [members], of whom this is one. All of them must be without a group. */
    public fun found(group: GroupId, members: List<Member>) {
        check(state.vote.group == null && state.log.lastIndex == 0L) { "$self belongs to a group." }
        state.saveVote(VoteState(term = 1, group = group))
        state.append(listOf(LogEntry(1, 1, Payload.Members(Membership(members)))))
    }

    /** Appends [payload] and returns its index, or null if this member can't lead at present. */
    public fun propose(payload: Payload, nowMs: Long): Long? {
        state.nowMs = maxOf(state.nowMs, nowMs)
        val leadership = (role as? Role.Leader)?.leadership ?: return null
        if (state.nowMs - leadership.confirmedMs > settings.electionMinMs) return null
        return leadership.append(payload)
    }

    /** Appends a change to [changed] and returns its index, or null if it can't begin at present. */
    public fun changeMembership(changed: Membership): Long? =
        (role as? Role.Leader)?.leadership?.changeMembership(changed)

    /** Returns whether [member] has everything that is committed, as the leader knows. */
    public fun isCaughtUp(member: Member): Boolean =
        (role as? Role.Leader)?.leadership?.isCaughtUp(member) ?: false

    /** Returns for how many milliseconds [member] has not answered this leader; 0 if this member does not lead. */
    public fun silenceMs(member: Member): Long = (role as? Role.Leader)?.leadership?.silenceMs(member) ?: 0

    /** Notes that the log is durable up to [index]. */
    public fun saved(index: Long) {
        state.saved(index)
        (role as? Role.Leader)?.leadership?.advanceCommit()
    }

    /** Returns the term of the entry at [index] and the membership then, for a snapshot. */
    public fun positionAt(index: Long): Pair<Long, Membership> =
        (state.log.termAt(index) ?: 0) to state.log.membershipAt(index)

    /** Notes that [snapshot] is saved and entries before [keepFrom] are dropped. */
    public fun compacted(snapshot: StoredSnapshot, keepFrom: Long) {
        state.log.compact(snapshot, keepFrom)
    }

    /** Handles [letter]. */
    public fun receive(letter: RaftLetter, nowMs: Long) {
        state.nowMs = maxOf(state.nowMs, nowMs)
        if (letter.to.voter != self.voter || !joins(letter.group)) return
        val message = letter.message
        if (message.term > state.term && message !is RaftMessage.PreVote) enterTerm(message.term)
        when (message) {
            is RaftMessage.PreVote -> onPreVote(letter.from, message)
            is RaftMessage.PreVoteReply -> onPreVoteReply(letter.from, message)
            is RaftMessage.Vote -> onVote(letter.from, message)
            is RaftMessage.VoteReply -> onVoteReply(letter.from, message)
            is RaftMessage.Append -> onAppend(letter.from, message)
            is RaftMessage.Install -> onInstall(letter.from, message)
            is RaftMessage.AppendReply -> onAppendReply(letter.from, message)
        }
    }

    private fun joins(group: GroupId): Boolean {
        if (state.vote.group == null) state.saveVote(state.vote.copy(group = group))
        return state.vote.group == group
    }

    private fun enterTerm(term: Long) {
        state.saveVote(state.vote.copy(term = term, votedFor = null))
        follow(null)
    }

    private fun follow(leader: Member?) {
        if (role is Role.Leader) state.confirmedMs = confirmedMs
        role = Role.Follower
        state.leader = leader
        state.drawElectionTime()
    }

    private fun lead(leadership: Leadership) {
        val quorumLost = state.nowMs - leadership.confirmedMs > settings.electionMaxMs
        val removed = !state.isVoter && state.log.membershipIndex <= state.commit
        if (quorumLost || removed) follow(null) else leadership.replicate()
    }

    private fun askForElection() {
        state.drawElectionTime()
        state.leader = null
        if (!state.isVoter) return
        stand(preVote = true)
    }

    private fun campaign() {
        state.saveVote(state.vote.copy(term = state.term + 1, votedFor = self.voter))
        state.drawElectionTime()
        stand(preVote = false)
    }

    private fun stand(preVote: Boolean) {
        val candidacy = Role.Candidate(preVote, self.voter)
        role = candidacy
        if (isMajority(candidacy.votes)) win(candidacy) else requestVotes(candidacy)
    }

    private fun seekVotes(candidacy: Role.Candidate) {
        if (state.nowMs >= state.electionDueMs) return askForElection()
        if (state.nowMs - candidacy.askedMs >= settings.resendMs) requestVotes(candidacy)
    }

    /** Asks the voters that have not granted their vote yet. */
    private fun requestVotes(candidacy: Role.Candidate) {
        candidacy.askedMs = state.nowMs
        val request = if (candidacy.preVote) {
            RaftMessage.PreVote(state.term + 1, state.log.lastIndex, state.log.lastTerm)
        } else {
            RaftMessage.Vote(state.term, state.log.lastIndex, state.log.lastTerm)
        }
        membership.voters.filter { it.voter !in candidacy.votes }.forEach { state.send(it, request) }
    }

    private fun count(candidacy: Role.Candidate, vote: VoterId) {
        candidacy.votes += vote
        if (isMajority(candidacy.votes)) win(candidacy)
    }

    private fun win(candidacy: Role.Candidate) = if (candidacy.preVote) campaign() else becomeLeader()

    private fun becomeLeader() {
        state.leader = self
        role = Role.Leader(Leadership(state))
    }

    private fun onPreVote(from: Member, request: RaftMessage.PreVote) {
        val leaderIsSilent = state.nowMs - state.heardMs >= settings.electionMinMs && role !is Role.Leader
        val granted = request.term > state.term && leaderIsSilent && isUpToDate(request.lastIndex, request.lastTerm)
        state.send(from, RaftMessage.PreVoteReply(state.term, request.term, granted))
    }

    private fun onPreVoteReply(from: Member, reply: RaftMessage.PreVoteReply) {
        val candidacy = (role as? Role.Candidate)?.takeIf { it.preVote } ?: return
        if (reply.granted && reply.asked == state.term + 1) count(candidacy, from.voter)
    }

    private fun onVote(from: Member, request: RaftMessage.Vote) {
        val free = state.vote.votedFor == null || state.vote.votedFor == from.voter
        val granted = request.term == state.term && free && isUpToDate(request.lastIndex, request.lastTerm)
        if (granted) {
            state.saveVote(state.vote.copy(votedFor = from.voter))
            state.drawElectionTime()
        }
        state.send(from, RaftMessage.VoteReply(state.term, granted))
    }

    private fun onVoteReply(from: Member, reply: RaftMessage.VoteReply) {
        val candidacy = (role as? Role.Candidate)?.takeIf { !it.preVote } ?: return
        if (reply.granted && reply.term == state.term) count(candidacy, from.voter)
    }

    private fun onAppend(from: Member, append: RaftMessage.Append) {
        if (!hearLeader(from, append.term)) return reply(from, success = false, 0, append.sentMs)
        val termHere = state.log.termAt(append.prevIndex)
        if (append.prevIndex < state.commit) {
            return reply(from, success = true, state.commit.coerceAtMost(append.lastIndex()), append.sentMs)
        }
        if (termHere != append.prevTerm) {
            val retry = minOf(append.prevIndex - 1, state.log.lastIndex).coerceAtLeast(state.commit)
            return reply(from, success = false, retry, append.sentMs)
        }
        takeEntries(append.entries)
        state.commitTo(minOf(append.commit, append.lastIndex()))
        if (state.commit >= append.commit) state.confirmedMs = maxOf(state.confirmedMs, state.nowMs - append.ageMs)
        reply(from, success = true, append.lastIndex(), append.sentMs)
    }

    private fun RaftMessage.Append.lastIndex() = prevIndex + entries.size

    private fun takeEntries(entries: List<LogEntry>) {
        val news = entries.dropWhile { state.log.termAt(it.index) == it.term }
        val first = news.firstOrNull() ?: return
        if (first.index <= state.log.lastIndex) state.truncateFrom(first.index)
        state.append(news)
    }

    private fun onInstall(from: Member, install: RaftMessage.Install) {
        val snapshot = install.snapshot
        if (!hearLeader(from, install.term)) return reply(from, success = false, 0, install.sentMs)
        when {
            snapshot.index <= state.commit -> Unit
            state.log.termAt(snapshot.index) == snapshot.term -> state.commitTo(snapshot.index)
            else -> state.install(snapshot)
        }
        reply(from, success = true, snapshot.index, install.sentMs)
    }

    private fun onAppendReply(from: Member, reply: RaftMessage.AppendReply) {
        if (reply.term == state.term) (role as? Role.Leader)?.leadership?.onReply(from, reply)
    }

    /** Follows [from] as leader of [term], or returns false if the term is over. */
    private fun hearLeader(from: Member, term: Long): Boolean {
        if (term < state.term) return false
        check(role !is Role.Leader) { "Two leaders in term $term: $self and $from." }
        follow(from)
        state.heardMs = state.nowMs
        return true
    }

    private fun reply(to: Member, success: Boolean, index: Long, sentMs: Long) {
        state.send(to, RaftMessage.AppendReply(state.term, success, index, sentMs))
    }

    private fun isUpToDate(lastIndex: Long, lastTerm: Long): Boolean {
        val ownTerm = state.log.lastTerm
        return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= state.log.lastIndex)
    }

    private fun isMajority(votes: Set<VoterId>): Boolean =
        membership.voters.count { it.voter in votes } >= membership.quorum
}
