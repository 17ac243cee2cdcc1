package gentiandale.state.raft

import gentiandale.state.log.RecoveredState
import gentiandale.state.log.StoredSnapshot
import kotlin.random.Random

/** State shared by the roles of a [RaftCore], and the output that they collect. */
internal class RaftState(
    val self: Member,
    val settings: RaftSettings,
    private val random: Random,
    recovered: RecoveredState,
    var nowMs: Long,
) {
    val log = RaftLog(recovered.snapshot, recovered.entries)
    var vote = recovered.vote
        private set
    var commit = recovered.snapshot?.index ?: 0
        private set
    var durableIndex = log.lastIndex
        private set
    var leader: Member? = null
    var leaderContactMs = Long.MIN_VALUE / 2
    var confirmedMs = nowMs
    var electionDueMs = 0L
        private set

    private var unsavedVote: VoteState? = null
    private var installed: StoredSnapshot? = null
    private val unsaved = ArrayList<LogEntry>()
    private val beforeSync = ArrayList<RaftEnvelope>()
    private val afterSync = ArrayList<RaftEnvelope>()
    private var deliveredIndex = commit

    val term: Long get() = vote.term
    val isVoter: Boolean get() = log.membership.isVoter(self.voter)

    init {
        resetElectionTimer()
    }

    fun resetElectionTimer() {
        electionDueMs = nowMs + random.nextLong(settings.electionMinMs, settings.electionMaxMs + 1)
    }

    fun saveVote(changed: VoteState) {
        if (changed == vote) return
        vote = changed
        unsavedVote = changed
    }

    /** Sends [message] once everything that was saved before it is durable. */
    fun send(to: Member, message: RaftMessage) {
        vote.group?.let { afterSync += RaftEnvelope(it, self, to, message) }
    }

    /** Sends [message] without waiting for the disk. It must not depend on this voter's durable state. */
    fun sendBeforeSync(to: Member, message: RaftMessage) {
        vote.group?.let { beforeSync += RaftEnvelope(it, self, to, message) }
    }

    fun append(entries: List<LogEntry>) {
        log.append(entries)
        unsaved += entries
    }

    fun truncateFrom(index: Long) {
        check(index > commit) { "Cannot truncate from entry $index: entries up to $commit are committed." }
        log.truncateFrom(index)
        unsaved.removeAll { it.index >= index }
        durableIndex = minOf(durableIndex, index - 1)
    }

    fun install(snapshot: StoredSnapshot) {
        log.install(snapshot)
        unsaved.clear()
        installed = snapshot
        commit = snapshot.index
        deliveredIndex = snapshot.index
        durableIndex = 0
    }

    fun commitTo(index: Long) {
        commit = maxOf(commit, minOf(index, log.lastIndex))
    }

    fun markDurable(index: Long) {
        durableIndex = minOf(index, log.lastIndex)
    }

    fun takeOutput(): RaftOutput {
        val output = RaftOutput(
            vote = unsavedVote,
            installed = installed,
            entries = unsaved.toList(),
            lastIndex = log.lastIndex,
            beforeSync = beforeSync.toList(),
            afterSync = afterSync.toList(),
            committed = log.range(deliveredIndex + 1, commit),
        )
        unsavedVote = null
        installed = null
        unsaved.clear()
        beforeSync.clear()
        afterSync.clear()
        deliveredIndex = commit
        return output
    }
}
