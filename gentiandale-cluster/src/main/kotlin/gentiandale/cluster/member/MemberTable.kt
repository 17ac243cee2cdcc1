package gentiandale.cluster.member

import gentiandale.core.Incarnation
import gentiandale.core.VmId
import gentiandale.core.VmState

/** Result of merging a received row into the [MemberTable]. */
internal sealed interface MemberMergeResult {
    /** The row is known already, or older than the known one. */
    data object Ignored : MemberMergeResult

    /** The row was newer than the known one and is now in the table. */
    data class Applied(val row: MemberRow) : MemberMergeResult

    /** The row reports a failure of [vm], which this VM has to confirm by a probe of its own. */
    data class Unverified(val vm: VmId, val reportedDead: Boolean) : MemberMergeResult
}

/** Entry VMs that this VM knows. [self] always has a row. */
internal class MemberTable(self: MemberRow) {
    private val rows = HashMap<VmId, MemberRow>()
    private val absentSinceMs = HashMap<VmId, Long>()
    private var cachedPeers: List<MemberRow>? = null

    /** Version of the table; rises with every change. */
    var version = 0L
        private set

    /** Version that rises with every change that may move the ownership of a cell. */
    var ownershipVersion = 0L
        private set

    var self: MemberRow = self
        private set

    init {
        put(self, 0)
    }

    operator fun get(vm: VmId): MemberRow? = rows[vm]

    val all: Collection<MemberRow> get() = rows.values

    /** Returns the other present VMs, sorted by id, so that the order does not depend on the order of arrival. */
    fun presentPeers(): List<MemberRow> =
        cachedPeers
            ?: rows.values.filter { it.isPresent && it.vm != self.vm }
                .sortedBy { it.vm }.also { cachedPeers = it }

    /** Stores [row] unconditionally. */
    fun put(row: MemberRow, now: Long) {
        val old = rows.put(row.vm, row)
        if (old == row) return
        if (row.vm == self.vm) self = row
        if (row.isPresent) absentSinceMs.remove(row.vm) else absentSinceMs.putIfAbsent(row.vm, now)
        version++
        if (old == null || old.withState(VmState.ALIVE).copy(incarnation = row.incarnation) != row) ownershipVersion++
        if (old?.state != row.state) ownershipVersion++
        cachedPeers = null
    }

    /** Sets the [state] of [vm] in its current incarnation, and returns the new row. */
    fun mark(vm: VmId, state: VmState, now: Long): MemberRow {
        val row = rows.getValue(vm).withState(state)
        put(row, now)
        return row
    }

    /** Merges [row], received from [from], about another VM. A reported failure is returned as unverified. */
    fun merge(row: MemberRow, from: VmId, now: Long): MemberMergeResult {
        val known = rows[row.vm]
        val reportsFailure = row.state == VmState.SUSPECT || row.state == VmState.DEAD
        val isNewer = known == null || row.incarnation > known.incarnation
        return when {
            isNewer && !reportsFailure -> accept(row, now)
            known == null || row.incarnation < known.incarnation -> MemberMergeResult.Ignored
            !isNewer -> mergeSameIncarnation(row, known, from, now)
            else -> {
                put(row.withState(VmState.ALIVE), now)
                MemberMergeResult.Unverified(row.vm, row.state == VmState.DEAD)
            }
        }
    }

    private fun mergeSameIncarnation(row: MemberRow, known: MemberRow, from: VmId, now: Long): MemberMergeResult {
        val unverified = MemberMergeResult.Unverified(row.vm, row.state == VmState.DEAD)
        return when (row.state) {
            VmState.ALIVE -> if (row.vm == from && known != row) accept(row, now) else MemberMergeResult.Ignored
            VmState.SUSPECT -> if (known.state == VmState.ALIVE) unverified else MemberMergeResult.Ignored
            VmState.DEAD -> if (known.isPresent) unverified else MemberMergeResult.Ignored
            VmState.LEAVING -> if (known.state == VmState.LEAVING) MemberMergeResult.Ignored else accept(row, now)
        }
    }

    /** Records a datagram from [vm]. Returns the row, now alive, if [incarnation] is newer than the known one. */
    fun recordContact(vm: VmId, incarnation: Incarnation, now: Long): MemberRow? {
        val known = rows[vm] ?: return null
        if (incarnation <= known.incarnation) return null
        val row = known.copy(incarnation = incarnation).withState(VmState.ALIVE)
        put(row, now)
        return row
    }

    /** Refutes a wrong [row] about this VM by raising the incarnation. Returns the new row, or null if not needed. */
    fun refute(row: MemberRow, now: Long): MemberRow? {
        val isAccurate = row.state == VmState.ALIVE && row.incarnation <= self.incarnation
        if (isAccurate || row.incarnation < self.incarnation || self.state == VmState.LEAVING) return null
        val refuted = self.copy(incarnation = Incarnation(row.incarnation.value + 1))
        put(refuted, now)
        return refuted
    }

    /** Removes the rows of VMs that have been dead or leaving since before [oldest]. */
    fun expire(oldest: Long) {
        val expired = absentSinceMs.filterValues { it < oldest }.keys.toList()
        expired.forEach {
            rows.remove(it)
            absentSinceMs.remove(it)
            version++
        }
    }

    private fun accept(row: MemberRow, now: Long): MemberMergeResult {
        put(row, now)
        return MemberMergeResult.Applied(row)
    }
}
