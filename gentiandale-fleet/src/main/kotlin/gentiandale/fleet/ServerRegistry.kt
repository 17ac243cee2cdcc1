package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.ServerId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.BackendTable
import gentiandale.core.log.EventLog

/**
 * Backend servers known to a control VM, with the departures that the store has recorded.
 *
 * @param silenceMs time in milliseconds without a heartbeat after which a server is marked as silent.
 * @param onReplaced called with the known row of a server before a row with another software version is merged.
 */
internal class ServerRegistry(
    private val clock: Clock,
    private val log: EventLog,
    private val silenceMs: Long,
    private val onReplaced: (BackendRow) -> Unit,
) {
    private val table = BackendTable()
    private val lastRowMs = HashMap<ServerId, Long>()
    private val recordedDepartures = HashMap<ServerId, BackendRow>()

    /** Rows of all servers, also of those that have ended recently. */
    val all: Collection<BackendRow> get() = table.all

    /** Returns the digest of the rows. */
    fun digest(): Long = table.digest()

    /** Returns the row of the server [id], or null if it is unknown. */
    operator fun get(id: ServerId): BackendRow? = table[id]

    /** Merges [row], which comes from [source], and returns the rows that changed. */
    fun merge(row: BackendRow, source: String): List<BackendRow> {
        val known = table[row.id]
        if (known == null || row.isNewerThan(known)) lastRowMs[row.id] = clock.monotonicMs()
        if (known != null && known.software != row.software) onReplaced(known)
        return table.merge(row).onEach { log.write(FleetLogEvent.ServerChanged(it, source)) }
    }

    /** Forgets the recorded departure of the server of [row], which accepts work, if [row] is newer. */
    fun onReturn(row: BackendRow) {
        recordedDepartures[row.id]?.let { if (row.isNewerThan(it)) recordedDepartures -= row.id }
    }

    /** Records the departure [row] unless a newer one is recorded. */
    fun recordDeparture(row: BackendRow) {
        val known = recordedDepartures[row.id]
        if (known == null || row.isNewerThan(known)) recordedDepartures[row.id] = row
    }

    /** Returns whether no newer row of its server contradicts the departure [row]. */
    fun isInForce(row: BackendRow): Boolean = table[row.id]?.let { !it.acceptsWork || !it.isNewerThan(row) } ?: true

    /** Returns whether the departure [row] is recorded. */
    fun isRecorded(row: BackendRow): Boolean {
        val recorded = recordedDepartures[row.id] ?: return false
        return when {
            recorded.incarnation != row.incarnation -> recorded.incarnation > row.incarnation
            else -> recorded.state == BackendState.GONE || row.state != BackendState.GONE
        }
    }

    /** Marks the servers without a recent heartbeat as silent, and returns their rows. */
    fun markSilent(nowMs: Long): List<BackendRow> = table.all
        .filter { !it.silent && it.state != BackendState.GONE && nowMs - (lastRowMs[it.id] ?: nowMs) > silenceMs }
        .map { it.copy(silent = true) }
        .onEach {
            table.replace(it)
            log.write(FleetLogEvent.ServerChanged(it, "no heartbeat"))
        }

    /** Removes the rows of servers that ended or became silent long ago. */
    fun removeExpired(nowMs: Long) {
        val old = table.all.filter {
            (it.silent || it.state == BackendState.GONE) &&
                nowMs - (lastRowMs[it.id] ?: 0) > TOMBSTONE_MS
        }
        old.forEach {
            table.remove(it.id)
            lastRowMs.remove(it.id)
        }
    }

    private companion object {
        /** A heartbeat of a server that has ended may arrive this late, so its tombstone must be kept that long. */
        const val TOMBSTONE_MS = 120_000L
    }
}
