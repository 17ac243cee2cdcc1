package gentiandale.state.raft

/** Replication progress of one other member, as the leader knows it. */
private class Progress(var next: Long, var ackedMs: Long) {
    var match = 0L
    var sentMs = Long.MIN_VALUE / 2
    var inFlight = false
}

/** State of the leader role: replication, commit, heartbeats and membership changes. */
internal class Leadership(private val state: RaftState) {
    private val progress = HashMap<VoterId, Progress>()
    private val startedMs = state.nowMs
    private val firstIndex: Long

    init {
        firstIndex = append(Payload.NoOp)
    }

    /** Time up to which a majority has confirmed this leader. */
    val confirmedMs: Long
        get() {
            val acked = voters().map { if (it.voter == state.self.voter) state.nowMs else progressOf(it).ackedMs }
            return acked.sortedDescending().getOrElse(state.log.membership.quorum - 1) { startedMs }
        }

    /** Whether an entry of the current term is committed. Until then the commit index may lag behind the group's. */
    val hasCommittedInTerm: Boolean get() = state.commit >= firstIndex

    fun append(payload: Payload): Long {
        val index = state.log.lastIndex + 1
        state.append(listOf(LogEntry(index, state.term, payload)))
        replicate()
        return index
    }

    /** Sends new entries, resends unacknowledged ones and sends heartbeats, as due. */
    fun replicate() {
        peers().forEach { member ->
            val peer = progressOf(member)
            val sinceSendMs = state.nowMs - peer.sentMs
            val hasNewEntries = !peer.inFlight && peer.next <= state.log.lastIndex
            val resend = peer.inFlight && sinceSendMs >= state.settings.resendMs && peer.next <= state.log.lastIndex
            if (hasNewEntries || resend || sinceSendMs >= state.settings.heartbeatMs) send(member, peer)
        }
    }

    fun onReply(from: Member, reply: RaftMessage.AppendReply) {
        if (peers().none { it.voter == from.voter }) return
        val peer = progressOf(from)
        peer.ackedMs = maxOf(peer.ackedMs, reply.sentMs)
        if (reply.success) {
            peer.match = maxOf(peer.match, reply.index)
            peer.next = peer.match + 1
        } else if (reply.sentMs == peer.sentMs) {
            peer.next = (reply.index + 1).coerceIn(peer.match + 1, peer.next)
        }
        if (reply.sentMs == peer.sentMs) peer.inFlight = false
        advanceCommit()
        replicate()
    }

    /** Commits the entries that a majority has made durable, if the last of them is of the current term. */
    fun advanceCommit() {
        val saved = voters().map { if (it.voter == state.self.voter) state.durableIndex else progressOf(it).match }
        val index = saved.sortedDescending().getOrElse(state.log.membership.quorum - 1) { 0 }
        if (index <= state.commit || state.log.termAt(index) != state.term) return
        state.commitTo(index)
        peers().forEach { sendCommit(it) }
    }

    /**
     * Appends a change to [changed] and returns its index, or null until an entry of the current term and all earlier
     * changes are committed.
     */
    fun changeMembership(changed: Membership): Long? {
        if (!hasCommittedInTerm || state.log.membershipIndex > state.commit) return null
        return append(Payload.Members(changed))
    }

    /** Returns whether [member] has all committed entries and has replied recently. */
    fun isCaughtUp(member: Member): Boolean {
        val peer = progress[member.voter] ?: return false
        return peer.match >= state.commit && state.nowMs - peer.ackedMs < state.settings.electionMinMs
    }

    /** Returns the milliseconds since the last reply of [member]. */
    fun sinceReplyMs(member: Member): Long = state.nowMs - (progress[member.voter]?.ackedMs ?: startedMs)

    private fun sendCommit(member: Member) {
        val peer = progressOf(member)
        if (!peer.inFlight && peer.match >= state.commit) send(member, peer)
    }

    private fun send(member: Member, peer: Progress) {
        peer.sentMs = maxOf(state.nowMs, peer.sentMs + 1)
        peer.inFlight = true
        val prevTerm = state.log.termAt(peer.next - 1)
        val snapshot = state.log.snapshot
        if (snapshot != null && (prevTerm == null || peer.next < state.log.firstIndex)) {
            state.sendBeforeSync(member, RaftMessage.Install(state.term, peer.sentMs, snapshot))
            return
        }
        val append = RaftMessage.Append(
            term = state.term,
            prevIndex = peer.next - 1,
            prevTerm = prevTerm ?: 0,
            commit = state.commit,
            sentMs = peer.sentMs,
            ageMs = state.nowMs - confirmedMs,
            entries = state.log.from(peer.next, MAX_BATCH_BYTES),
        )
        state.sendBeforeSync(member, append)
    }

    private fun voters() = state.log.membership.voters

    private fun peers() = state.log.membership.all.filter { it.voter != state.self.voter }

    private fun progressOf(member: Member) =
        progress.getOrPut(member.voter) { Progress(maxOf(state.log.lastIndex, 1), startedMs) }

    private companion object {
        /** A lost batch is resent as a whole, so it stays well below what a link carries in one resend interval. */
        const val MAX_BATCH_BYTES = 256 * 1_024
    }
}
