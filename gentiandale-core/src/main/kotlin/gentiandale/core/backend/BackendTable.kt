package gentiandale.core.backend

import gentiandale.core.Address
import gentiandale.core.ServerId

/**
 * The newest row of each backend server. Rows may arrive in any order, more than once and from several sources; the
 * result is the same. A server that has ended stays as a tombstone, so that a delayed heartbeat does not revive it.
 */
public class BackendTable {
    private val rows = HashMap<ServerId, BackendRow>()
    private val owners = HashMap<Address, ServerId>()

    /** All rows, tombstones included. */
    public val all: Collection<BackendRow> get() = rows.values

    /** Returns the row of [id], or null. */
    public operator fun get(id: ServerId): BackendRow? = rows[id]

    /** Takes [row] unless a newer one is known, and returns the rows that changed in a way that matters. */
    public fun merge(row: BackendRow): List<BackendRow> {
        val known = rows[row.id]
        if (known != null && !row.isNewerThan(known)) return emptyList()
        val owner = owners[row.address]?.let(rows::get)?.takeIf { it.id != row.id }
        if (owner != null && owner.state != BackendState.GONE && owner.incarnation > row.incarnation) return emptyList()
        val changed = ArrayList<BackendRow>(2)
        if (owner != null && owner.state != BackendState.GONE && row.state != BackendState.GONE) {
            changed += owner.copy(state = BackendState.GONE).also { rows[it.id] = it }
        }
        rows[row.id] = row
        if (row.state != BackendState.GONE) owners[row.address] = row.id
        if (known == null || row.differsFrom(known)) changed += row
        return changed
    }

    /** Replaces the row of the same server by [row], which this VM has concluded itself. */
    public fun replace(row: BackendRow) {
        rows[row.id] = row
    }

    /** Removes the row of [id]. */
    public fun remove(id: ServerId) {
        val row = rows.remove(id) ?: return
        if (owners[row.address] == id) owners.remove(row.address)
    }

    /** Returns a number that is the same where two tables call for the same decisions. */
    public fun digest(): Long = rows.values.sumOf { row ->
        val content = row.copy(sequence = 0).hashCode().toLong()
        content * DIGEST_FACTOR xor (content ushr DIGEST_SHIFT)
    }

    private companion object {
        const val DIGEST_FACTOR = -0x61c8864680b583ebL
        const val DIGEST_SHIFT = 17
    }
}
