package gentiandale.state.raft

import gentiandale.state.log.RecoveredState
import gentiandale.state.log.StoredSnapshot
import kotlin.random.Random

private sealed interface Role {
    data object Follower : Role

    class Candidate(val preVote: Boolean, self: VoterId) : Role {
        val votes = mutableSetOf(self)
        var requestedMs = 0L
    }

    class Leader(val leadership: Leadership) : Role
}

/**
 * Raft state machine of one member, with pre-vote and learners. It performs no I/O and starts no threads: its methods
 * take events, and [takeOutput] returns the effects to perform. Times are readings of a monotonic clock in
 * milliseconds, passed as arguments.
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

    /** Group that this member belongs to, or null if it has not joined one. */
    public val group: GroupId? get() = state.vote.group

    /** Current term. */
    public val term: Long get() = state.term

    /** Known leader of the current term, or null. */
    public val leader: Member? get() = state.leader

    /** Whether this member is the leader. */
    public val isLeader: Boolean get() = role is Role.Leader

    /** Membership in force, which is that of the last log entry that changes it, committed or not. */
    public val membership: Membership get() = state.log.membership

    /** Index of the entry that set [membership]. */
    public val membershipIndex: Long get() = state.log.membershipIndex

    /** Index of the last committed entry. */
    public val commitIndex: Long get() = state.commit

    /** Monotonic time at which a majority last confirmed the commit index known on this member. */
    public val confirmedMs: Long get() = (role as? Role.Leader)?.leadership?.confirmedMs ?: state.confirmedMs

    /** Whether this member is the leader and an entry of its term is committed, so that it knows all earlier ones. */
    public val hasCommittedInTerm: Boolean get() = (role as? Role.Leader)?.leadership?.hasCommittedInTerm ?: false

    /** Returns the effects to perform and clears them. */
    public fun takeOutput(): RaftOutput = state.takeOutput()

    /** Advances the clock to [nowMs]: sends heartbeats and retries, starts elections and steps down when due. */
    public fun tick(nowMs: Long) {
        state.nowMs = maxOf(state.nowMs, nowMs)
        when (val current = role) {
            is Role.Leader -> tickLeader(current.leadership)
            is Role.Follower -> if (state.nowMs >= state.electionDueMs) startPreVote()
            is Role.Candidate -> tickCandidate(current)
        }
    }

    /** State of founding the group, as saved on this member; null if it takes no part. */
    public val founding: FoundingState? get() = state.vote.founding

    /** Whether the log has neither entries nor a snapshot. */
    public val isEmpty: Boolean get() = state.log.lastIndex == 0L

    /** Saves [founding]. */
    public fun saveFounding(founding: FoundingState) {
        state.saveVote(state.vote.copy(founding = founding))
    }

    /**
     * Creates [group] with the voters [members], which include this member. All of them must create the same group with
     * the same members, and none may have joined another one. At most one of them should [campaign] at once; the others
     * wait for an election timeout.
     */
    public fun bootstrap(group: GroupId, members: List<Member>, campaign: Boolean = true) {
        check((state.vote.group ?: group) == group && isEmpty) { "$self already belongs to a group." }
        state.saveVote(state.vote.copy(term = maxOf(state.term, 1), group = group))
        state.append(listOf(LogEntry(1, 1, Payload.Members(Membership(members)))))
        if (campaign) startPreVote() else state.resetElectionTimer()
    }

    /** Appends [payload] and returns its index, or null if this member is not a leader confirmed by a majority. */
    public fun propose(payload: Payload, nowMs: Long): Long? {
        state.nowMs = maxOf(state.nowMs, nowMs)
        val leadership = (role as? Role.Leader)?.leadership ?: return null
        if (state.nowMs - leadership.confirmedMs > settings.electionMinMs) return null
        return leadership.append(payload)
    }

    /**
     * Appends an entry that changes the membership to [changed] and returns its index. Returns null if this member is
     * not the leader, has not committed an entry of its term yet, or an earlier change is not committed.
     */
    public fun changeMembership(changed: Membership): Long? =
        (role as? Role.Leader)?.leadership?.changeMembership(changed)

    /** Returns whether [member] has all committed entries and replied recently; false if this member is not leader. */
    public fun isCaughtUp(member: Member): Boolean =
        (role as? Role.Leader)?.leadership?.isCaughtUp(member) ?: false

    /** Returns the milliseconds since the last reply of [member]; 0 if this member is not the leader. */
    public fun sinceReplyMs(member: Member): Long = (role as? Role.Leader)?.leadership?.sinceReplyMs(member) ?: 0

    /** Records that the log is durable up to [index], which may advance the commit index. */
    public fun markDurable(index: Long) {
        state.markDurable(index)
        (role as? Role.Leader)?.leadership?.advanceCommit()
    }

    /** Returns the term of the entry at [index] and the membership at that index, as a snapshot stores them. */
    public fun positionAt(index: Long): Pair<Long, Membership> =
        (state.log.termAt(index) ?: 0) to state.log.membershipAt(index)

    /** Records that [snapshot] is saved and that the entries before [keepFrom] are deleted. */
    public fun onCompacted(snapshot: StoredSnapshot, keepFrom: Long) {
        state.log.compact(snapshot, keepFrom)
    }

    /** Handles the message in [envelope]. A message for another data folder or group is ignored. */
    public fun receive(envelope: RaftEnvelope, nowMs: Long) {
        state.nowMs = maxOf(state.nowMs, nowMs)
        if (envelope.to.voter != self.voter || !joinGroup(envelope.group)) return
        val message = envelope.message
        if (message.term > state.term && message !is RaftMessage.PreVote) enterTerm(message.term)
        when (message) {
            is RaftMessage.PreVote -> onPreVote(envelope.from, message)
            is RaftMessage.PreVoteReply -> onPreVoteReply(envelope.from, message)
            is RaftMessage.Vote -> onVote(envelope.from, message)
            is RaftMessage.VoteReply -> onVoteReply(envelope.from, message)
            is RaftMessage.Append -> onAppend(envelope.from, message)
            is RaftMessage.Install -> onInstall(envelope.from, message)
            is RaftMessage.AppendReply -> onAppendReply(envelope.from, message)
        }
    }

    private fun joinGroup(group: GroupId): Boolean {
        if (state.vote.group == null) state.saveVote(state.vote.copy(group = group))
        return state.vote.group == group
    }

    private fun enterTerm(term: Long) {
        state.saveVote(state.vote.copy(term = term, votedFor = null))
        becomeFollower(null)
    }

    private fun becomeFollower(leader: Member?) {
        if (role is Role.Leader) state.confirmedMs = confirmedMs
        role = Role.Follower
        state.leader = leader
        state.resetElectionTimer()
    }

    private fun tickLeader(leadership: Leadership) {
        val quorumLost = state.nowMs - leadership.confirmedMs > settings.electionMaxMs
        val removed = !state.isVoter && state.log.membershipIndex <= state.commit
        if (quorumLost || removed) becomeFollower(null) else leadership.replicate()
    }

    private fun startPreVote() {
        state.resetElectionTimer()
        state.leader = null
        if (!state.isVoter) return
        becomeCandidate(preVote = true)
    }

    private fun startElection() {
        state.saveVote(state.vote.copy(term = state.term + 1, votedFor = self.voter))
        state.resetElectionTimer()
        becomeCandidate(preVote = false)
    }

    private fun becomeCandidate(preVote: Boolean) {
        val candidacy = Role.Candidate(preVote, self.voter)
        role = candidacy
        if (isMajority(candidacy.votes)) onMajority(candidacy) else requestVotes(candidacy)
    }

    private fun tickCandidate(candidacy: Role.Candidate) {
        if (state.nowMs >= state.electionDueMs) return startPreVote()
        if (state.nowMs - candidacy.requestedMs >= settings.resendMs) requestVotes(candidacy)
    }

    /** Requests votes from the voters that have not granted theirs yet. */
    private fun requestVotes(candidacy: Role.Candidate) {
        candidacy.requestedMs = state.nowMs
        val request = if (candidacy.preVote) {
            RaftMessage.PreVote(state.term + 1, state.log.lastIndex, state.log.lastTerm)
        } else {
            RaftMessage.Vote(state.term, state.log.lastIndex, state.log.lastTerm)
        }
        membership.voters.filter { it.voter !in candidacy.votes }.forEach { state.send(it, request) }
    }

    private fun countVote(candidacy: Role.Candidate, vote: VoterId) {
        candidacy.votes += vote
        if (isMajority(candidacy.votes)) onMajority(candidacy)
    }

    private fun onMajority(candidacy: Role.Candidate) = if (candidacy.preVote) startElection() else becomeLeader()

    private fun becomeLeader() {
        state.leader = self
        role = Role.Leader(Leadership(state))
    }

    private fun onPreVote(from: Member, request: RaftMessage.PreVote) {
        val leaderTimedOut = state.nowMs - state.leaderContactMs >= settings.electionMinMs && role !is Role.Leader
        val granted = request.term > state.term && leaderTimedOut && isUpToDate(request.lastIndex, request.lastTerm)
        state.send(from, RaftMessage.PreVoteReply(state.term, request.term, granted))
    }

    private fun onPreVoteReply(from: Member, reply: RaftMessage.PreVoteReply) {
        val candidacy = (role as? Role.Candidate)?.takeIf { it.preVote } ?: return
        if (reply.granted && reply.asked == state.term + 1) countVote(candidacy, from.voter)
    }

    private fun onVote(from: Member, request: RaftMessage.Vote) {
        val voteAvailable = state.vote.votedFor == null || state.vote.votedFor == from.voter
        val granted = request.term == state.term && voteAvailable && isUpToDate(request.lastIndex, request.lastTerm)
        if (granted) {
            state.saveVote(state.vote.copy(votedFor = from.voter))
            state.resetElectionTimer()
        }
        state.send(from, RaftMessage.VoteReply(state.term, granted))
    }

    private fun onVoteReply(from: Member, reply: RaftMessage.VoteReply) {
        val candidacy = (role as? Role.Candidate)?.takeIf { !it.preVote } ?: return
        if (reply.granted && reply.term == state.term) countVote(candidacy, from.voter)
    }

    private fun onAppend(from: Member, append: RaftMessage.Append) {
        if (!acceptLeader(from, append.term)) return sendAppendReply(from, success = false, 0, append.sentMs)
        val localTerm = state.log.termAt(append.prevIndex)
        if (append.prevIndex < state.commit) {
            return sendAppendReply(from, success = true, state.commit.coerceAtMost(append.lastIndex()), append.sentMs)
        }
        if (localTerm != append.prevTerm) {
            val retry = minOf(append.prevIndex - 1, state.log.lastIndex).coerceAtLeast(state.commit)
            return sendAppendReply(from, success = false, retry, append.sentMs)
        }
        storeEntries(append.entries)
        state.commitTo(minOf(append.commit, append.lastIndex()))
        if (state.commit >= append.commit) state.confirmedMs = maxOf(state.confirmedMs, state.nowMs - append.ageMs)
        sendAppendReply(from, success = true, append.lastIndex(), append.sentMs)
    }

    private fun RaftMessage.Append.lastIndex() = prevIndex + entries.size

    private fun storeEntries(entries: List<LogEntry>) {
        val missing = entries.dropWhile { state.log.termAt(it.index) == it.term }
        val first = missing.firstOrNull() ?: return
        if (first.index <= state.log.lastIndex) state.truncateFrom(first.index)
        state.append(missing)
    }

    private fun onInstall(from: Member, install: RaftMessage.Install) {
        val snapshot = install.snapshot
        if (!acceptLeader(from, install.term)) return sendAppendReply(from, success = false, 0, install.sentMs)
        when {
            snapshot.index <= state.commit -> Unit
            state.log.termAt(snapshot.index) == snapshot.term -> state.commitTo(snapshot.index)
            else -> state.install(snapshot)
        }
        sendAppendReply(from, success = true, snapshot.index, install.sentMs)
    }

    private fun onAppendReply(from: Member, reply: RaftMessage.AppendReply) {
        if (reply.term == state.term) (role as? Role.Leader)?.leadership?.onReply(from, reply)
    }

    /** Accepts [from] as leader of [term]; returns false if the term is older than the current one. */
    private fun acceptLeader(from: Member, term: Long): Boolean {
        if (term < state.term) return false
        check(role !is Role.Leader) { "Two leaders in term $term: $self and $from." }
        becomeFollower(from)
        state.leaderContactMs = state.nowMs
        return true
    }

    private fun sendAppendReply(to: Member, success: Boolean, index: Long, sentMs: Long) {
        state.send(to, RaftMessage.AppendReply(state.term, success, index, sentMs))
    }

    private fun isUpToDate(lastIndex: Long, lastTerm: Long): Boolean {
        val localTerm = state.log.lastTerm
        return lastTerm > localTerm || (lastTerm == localTerm && lastIndex >= state.log.lastIndex)
    }

    private fun isMajority(votes: Set<VoterId>): Boolean =
        membership.voters.count { it.voter in votes } >= membership.quorum
}
