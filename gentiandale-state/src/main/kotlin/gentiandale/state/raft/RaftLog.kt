package gentiandale.state.raft

import gentiandale.state.bodyChars
import gentiandale.state.log.StoredSnapshot

/** In-memory log of one member. Compaction drops entries that the snapshot covers, except for the last ones. */
internal class RaftLog(snapshot: StoredSnapshot?, recovered: List<LogEntry>) {
    private val entries = ArrayList(recovered)
    private val memberships = ArrayList<Pair<Long, Membership>>()

    /** Latest snapshot, taken here or received from a leader. */
    var snapshot: StoredSnapshot? = snapshot
        private set

    /** Index before the first entry in memory. */
    private var baseIndex = recovered.firstOrNull()?.let { it.index - 1 } ?: snapshot?.index ?: 0

    /** Index of the first entry in memory. */
    val firstIndex: Long get() = baseIndex + 1

    val lastIndex: Long get() = baseIndex + entries.size
    val lastTerm: Long get() = termAt(lastIndex) ?: 0

    /** Membership in force, which is that of the last entry that changes it, committed or not. */
    val membership: Membership get() = memberships.lastOrNull()?.second ?: snapshot?.membership ?: Membership()

    /** Index of the entry that set [membership]; the snapshot's index if no later entry changed it. */
    val membershipIndex: Long get() = memberships.lastOrNull()?.first ?: snapshot?.index ?: 0

    init {
        recovered.forEach(::trackMembership)
    }

    /** Returns the term of the entry at [index], or null if the entry is neither in memory nor the snapshot's last. */
    fun termAt(index: Long): Long? = when {
        index == 0L -> 0
        index in (baseIndex + 1)..lastIndex -> entries[offset(index)].term
        index == snapshot?.index -> snapshot?.term
        else -> null
    }

    /** Returns entries from [index] on: about [maxBytes] bytes at most, but at least one entry if there is any. */
    fun from(index: Long, maxBytes: Int): List<LogEntry> {
        if (index > lastIndex) return emptyList()
        var bytes = 0
        val tail = entries.subList(offset(index), entries.size)
        val count = tail.indexOfFirst {
            bytes += it.approximateBytes()
            bytes > maxBytes
        }
        return tail.take(if (count < 0) tail.size else maxOf(count, 1))
    }

    fun range(first: Long, last: Long): List<LogEntry> =
        if (first > last) emptyList() else entries.subList(offset(first), offset(last) + 1).toList()

    fun append(added: List<LogEntry>) {
        added.forEach {
            entries += it
            trackMembership(it)
        }
    }

    fun truncateFrom(index: Long) {
        entries.subList(offset(index), entries.size).clear()
        while (memberships.isNotEmpty() && memberships.last().first >= index) memberships.removeLast()
    }

    fun membershipAt(index: Long): Membership =
        memberships.lastOrNull { it.first <= index }?.second ?: snapshot?.membership ?: Membership()

    /** Sets [compacted] as the latest snapshot and drops the entries before [keepFrom]. */
    fun compact(compacted: StoredSnapshot, keepFrom: Long) {
        snapshot = compacted
        memberships.removeAll { it.first <= compacted.index }
        val dropped = (keepFrom - 1 - baseIndex).coerceIn(0, entries.size.toLong()).toInt()
        entries.subList(0, dropped).clear()
        baseIndex += dropped
    }

    /** Replaces the whole log with the snapshot [installed]. */
    fun install(installed: StoredSnapshot) {
        entries.clear()
        memberships.clear()
        snapshot = installed
        baseIndex = installed.index
    }

    private fun trackMembership(entry: LogEntry) {
        if (entry.payload is Payload.Members) memberships += entry.index to entry.payload.membership
    }

    private fun offset(index: Long) = (index - baseIndex - 1).toInt()
}

private const val ENTRY_BYTES = 256

private fun LogEntry.approximateBytes(): Int = ENTRY_BYTES + when (payload) {
    is Payload.Command -> payload.command.bodyChars()
    is Payload.Members, Payload.NoOp -> 0
}
