package gentiandale.state.raft

/** What a leader knows of one other member. */
private class Progress(var next: Long, var ackedMs: Long) {
    var match = 0L
    var sentMs = Long.MIN_VALUE / 2
    var waiting = false
}

/** Work of a leader: replication, commit, heartbeats and changes of the membership. */
internal class Leadership(private val state: RaftState) {
    private val progress = HashMap<VoterId, Progress>()
    private val startedMs = state.nowMs
    private val firstIndex: Long

    init {
        firstIndex = append(Payload.NoOp)
    }

    /** Time at which a majority has last confirmed this leader. */
    val confirmedMs: Long
        get() {
            val acked = voters().map { if (it.voter == state.self.voter) state.nowMs else progressOf(it).ackedMs }
            return acked.sortedDescending().getOrElse(state.log.membership.quorum - 1) { startedMs }
        }

    /** Whether an entry of this term is committed, so that the commit index is up to date. */
    val isSettled: Boolean get() = state.commit >= firstIndex

    fun append(payload: Payload): Long {
        val index = state.log.lastIndex + 1
        state.append(listOf(LogEntry(index, state.term, payload)))
        replicate()
        return index
    }

    /** Sends what is due: new entries, repeats of unanswered ones, heartbeats. */
    fun replicate() {
        others().forEach { member ->
            val known = progressOf(member)
            val silentMs = state.nowMs - known.sentMs
            val news = !known.waiting && known.next <= state.log.lastIndex
            val resend = known.waiting && silentMs >= state.settings.resendMs && known.next <= state.log.lastIndex
            if (news || resend || silentMs >= state.settings.heartbeatMs) send(member, known)
        }
    }

    fun onReply(from: Member, reply: RaftMessage.AppendReply) {
        if (others().none { it.voter == from.voter }) return
        val known = progressOf(from)
        known.ackedMs = maxOf(known.ackedMs, reply.sentMs)
        if (reply.success) {
            known.match = maxOf(known.match, reply.index)
            known.next = known.match + 1
        } else if (reply.sentMs == known.sentMs) {
            known.next = (reply.index + 1).coerceIn(known.match + 1, known.next)
        }
        if (reply.sentMs == known.sentMs) known.waiting = false
        advanceCommit()
        replicate()
    }

    /** Commits what a majority has saved, if it ends with an entry of this term. */
    fun advanceCommit() {
        val saved = voters().map { if (it.voter == state.self.voter) state.savedIndex else progressOf(it).match }
        val index = saved.sortedDescending().getOrElse(state.log.membership.quorum - 1) { 0 }
        if (index <= state.commit || state.log.termAt(index) != state.term) return
        state.commitTo(index)
        others().forEach { announceCommit(it) }
    }

    /** Appends [changed] if the last change is committed, and returns its index, else null. */
    fun changeMembership(changed: Membership): Long? {
        if (!isSettled || state.log.membershipIndex > state.commit) return null
        return append(Payload.Members(changed))
    }

    /** Returns whether [member] has all committed entries and answers. */
    fun isCaughtUp(member: Member): Boolean {
        val known = progress[member.voter] ?: return false
        return known.match >= state.commit && state.nowMs - known.ackedMs < state.settings.electionMinMs
    }

    /** Returns for how many milliseconds [member] has not answered. */
    fun silenceMs(member: Member): Long = state.nowMs - (progress[member.voter]?.ackedMs ?: startedMs)

    private fun announceCommit(member: Member) {
        val known = progressOf(member)
        if (!known.waiting && known.match >= state.commit) send(member, known)
    }

    private fun send(member: Member, known: Progress) {
        known.sentMs = maxOf(state.nowMs, known.sentMs + 1)
        known.waiting = true
        val prevTerm = state.log.termAt(known.next - 1)
        val snapshot = state.log.snapshot
        if (snapshot != null && (prevTerm == null || known.next < state.log.firstIndex)) {
            state.sendEarly(member, RaftMessage.Install(state.term, known.sentMs, snapshot))
            return
        }
        val append = RaftMessage.Append(
            term = state.term,
            prevIndex = known.next - 1,
            prevTerm = prevTerm ?: 0,
            commit = state.commit,
            sentMs = known.sentMs,
            ageMs = state.nowMs - confirmedMs,
            entries = state.log.from(known.next, MAX_BATCH_BYTES),
        )
        state.sendEarly(member, append)
    }

    private fun voters() = state.log.membership.voters

    private fun others() = state.log.membership.all.filter { it.voter != state.self.voter }

    private fun progressOf(member: Member) =
        progress.getOrPut(member.voter) { Progress(maxOf(state.log.lastIndex, 1), startedMs) }

    private companion object {
        /** A batch is sent again as a whole after a loss, so it stays well below what a link carries in that time. */
        const val MAX_BATCH_BYTES = 256 * 1_024
    }
}
