package gentiandale.state

import gentiandale.core.ServerId
import gentiandale.core.backend.BackendRow
import kotlinx.serialization.Serializable

/** Departure of a backend server, as its last known [row], which was recorded [atMs] milliseconds after the epoch. */
@Serializable
public data class Departure(val row: BackendRow, val atMs: Long)

/** Recorded departures of backend servers; the [revision] increases with each that is recorded. */
@Serializable
public data class Departures(public val revision: Long = 0, public val all: List<Departure> = emptyList())

/**
 * Backend servers that have said that they leave or have ended. A departure is kept for longer than a heartbeat that
 * was sent before it can be delayed, so that such a heartbeat never makes the server usable again.
 */
internal class DepartureTable {
    /** In the order of their times. */
    private val departures = LinkedHashMap<ServerId, Departure>()

    var revision = 0L
        private set

    /** Records [row] at [nowMs] unless a newer row of the same server is recorded. */
    fun record(row: BackendRow, nowMs: Long) {
        val known = departures[row.id]
        if (known != null && !row.isNewerThan(known.row)) return
        departures.remove(row.id)
        departures[row.id] = Departure(row, nowMs)
        if (departures.size > MAX_DEPARTURES) departures.remove(departures.keys.first())
        revision++
    }

    fun expire(nowMs: Long) {
        while (departures.isNotEmpty()) {
            val (id, oldest) = departures.entries.first()
            if (nowMs - oldest.atMs <= LIFETIME_MS) return
            departures.remove(id)
        }
    }

    fun save() = Departures(revision, departures.values.toList())

    fun load(saved: Departures) {
        revision = saved.revision
        departures.clear()
        saved.all.associateByTo(departures) { it.row.id }
    }

    companion object {
        const val LIFETIME_MS = 600_000L

        /** About four times the servers of a fleet of the target size; a record takes some hundred bytes. */
        const val MAX_DEPARTURES = 20_000
    }
}
