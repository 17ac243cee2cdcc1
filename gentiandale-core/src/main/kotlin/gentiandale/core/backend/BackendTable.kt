package gentiandale.core.backend

import gentiandale.core.Address
import gentiandale.core.ServerId

/**
 * The newest row of each backend server. The result does not depend on the order, number and sources in which rows
 * arrive. A server that has shut down stays as a tombstone, so that a delayed heartbeat does not revive it.
 */
public class BackendTable {
    private val rows = HashMap<ServerId, BackendRow>()
    private val idsByAddress = HashMap<Address, ServerId>()

    /** All rows, tombstones included. */
    public val all: Collection<BackendRow> get() = rows.values

    /** Returns the row of [id], or null. */
    public operator fun get(id: ServerId): BackendRow? = rows[id]

    /** Stores [row] unless a newer one is known, and returns the rows that entry VMs must treat differently now. */
    public fun merge(row: BackendRow): List<BackendRow> {
        val known = rows[row.id]
        if (known == null || known.incarnation != row.incarnation || known.departing == row.departing) {
            return mergeNewer(row, known)
        }
        // A departure holds for the incarnation, whichever row is newer.
        if (known.departing) return mergeNewer(row.copy(departing = true), known)
        val departing = known.copy(departing = true).also { rows[row.id] = it }
        return mergeNewer(row, departing).ifEmpty { listOf(departing) }
    }

    private fun mergeNewer(row: BackendRow, known: BackendRow?): List<BackendRow> {
        if (known != null && !row.isNewerThan(known)) return emptyList()
        val owner = idsByAddress[row.address]?.let(rows::get)?.takeIf { it.id != row.id }
        if (owner != null && owner.state != BackendState.GONE && owner.incarnation > row.incarnation) return emptyList()
        val changed = ArrayList<BackendRow>(2)
        if (owner != null && owner.state != BackendState.GONE && row.state != BackendState.GONE) {
            changed += owner.copy(state = BackendState.GONE).also { rows[it.id] = it }
        }
        rows[row.id] = row
        if (row.state != BackendState.GONE) idsByAddress[row.address] = row.id
        if (known == null || row.differsFrom(known)) changed += row
        return changed
    }

    /** Replaces the row of the same server by [row], which this VM has derived itself, without comparing their age. */
    public fun replace(row: BackendRow) {
        rows[row.id] = row
    }

    /** Removes the row of [id]. */
    public fun remove(id: ServerId) {
        val row = rows.remove(id) ?: return
        if (idsByAddress[row.address] == id) idsByAddress.remove(row.address)
    }

    /** Returns a hash of the rows without their sequence numbers: equal for tables that lead to the same decisions. */
    public fun digest(): Long = rows.values.sumOf { row ->
        val content = row.copy(sequence = 0).hashCode().toLong()
        content * DIGEST_FACTOR xor (content ushr DIGEST_SHIFT)
    }

    private companion object {
        const val DIGEST_FACTOR = -0x61c8864680b583ebL
        const val DIGEST_SHIFT = 17
    }
}
