package gentiandale.cluster.directory

import gentiandale.cluster.ClusterTimes
import gentiandale.core.Announcement
import gentiandale.core.Finding
import gentiandale.core.KnownServer
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerLoad
import gentiandale.core.findings

/** Result of merging an announcement into the [ServerDirectory]. */
internal sealed interface AnnouncementResult {
    /** The announcement is accepted; [changedRow] is the row to gossip, or null if nothing changed. */
    data class Valid(val changedRow: ServerRow?) : AnnouncementResult

    /** The announcement contradicts the known facts of the server. */
    data class Conflict(val findings: List<Finding>) : AnnouncementResult
}

/** Backend servers that this VM knows. */
internal class ServerDirectory(private val times: ClusterTimes) {
    private class Report(val load: ServerLoad, val receivedMs: Long)

    private val rows = HashMap<ServerId, ServerRow>()
    private val changedMs = HashMap<ServerId, Long>()
    private val reports = HashMap<ServerId, Report>()
    private val ownedSinceMs = HashMap<ServerId, Long>()
    private val dirty = LinkedHashSet<ServerId>()
    private var silent = emptySet<ServerId>()

    /** Version that rises with every change of a row. */
    var version = 0L
        private set

    val all: Collection<ServerRow> get() = rows.values

    operator fun get(server: ServerId): ServerRow? = rows[server]

    /** Merges [row] and returns the row to gossip, or null if nothing changed. */
    fun merge(row: ServerRow, now: Long): ServerRow? {
        val known = rows[row.server]
        val merged = known?.merge(row) ?: row
        if (merged == known) return null
        put(merged, now)
        return merged
    }

    /** Merges the facts of [announcement] unless they contradict the known ones. */
    fun mergeAnnouncement(announcement: Announcement, now: Long): AnnouncementResult {
        val facts = announcement.facts
        val known = rows[facts.server]
        if (known == null || facts.incarnation > known.facts.incarnation) return putValid(ServerRow(facts), now)
        val conflicts = conflicts(facts, known)
        if (conflicts.isNotEmpty()) return AnnouncementResult.Conflict(conflicts)
        val merged = facts.copy(leaving = facts.leaving || known.facts.leaving)
        if (merged == known.facts && known.isUp) return AnnouncementResult.Valid(changedRow = null)
        return putValid(ServerRow(merged, known.version + 1), now)
    }

    /** Records the [load] that [server] itself reported at [now]. */
    fun recordReport(server: ServerId, load: ServerLoad, now: Long) {
        reports[server] = Report(load, now)
        dirty += server
    }

    /** Marks those of the [owned] servers as gone whose last report has timed out, and returns their rows. */
    fun markTimedOut(now: Long, owned: Collection<ServerId>): List<ServerRow> {
        ownedSinceMs.keys.retainAll(owned.toSet())
        reports.keys.retainAll(ownedSinceMs.keys)
        return owned.mapNotNull { server ->
            val sinceMs = ownedSinceMs.getOrPut(server) { now }
            val row = rows[server]?.takeIf { it.isUp } ?: return@mapNotNull null
            if (now < timeoutStartMs(server, sinceMs) + times.serverTimeoutMs) return@mapNotNull null
            row.copy(version = row.version + 1, gone = true).also { put(it, now) }
        }
    }

    private fun isSilent(server: ServerId, now: Long): Boolean =
        reports[server]?.let { now - it.receivedMs >= times.serverSilenceMs } ?: false

    /** Extends all server timeouts by [pauseMs], a pause of this process in which it received no reports. */
    fun resume(pauseMs: Long) {
        reports.replaceAll { _, report -> Report(report.load, report.receivedMs + pauseMs) }
        ownedSinceMs.replaceAll { _, sinceMs -> sinceMs + pauseMs }
    }

    /** Removes the rows of servers that have been gone since before [oldest]. */
    fun expire(oldest: Long) {
        val expired = rows.filter { (server, row) -> row.gone && changedMs.getValue(server) < oldest }.keys.toList()
        expired.forEach {
            rows.remove(it)
            changedMs.remove(it)
        }
    }

    /** Returns the live servers. A silent one is shown as leaving, so that it gets no new work. */
    fun liveServers(): Map<ServerId, KnownServer> =
        rows.values.filter { it.isUp }.associate { it.server to toKnownServer(it) }

    /** Updates which servers are silent at [now]. */
    fun updateSilent(now: Long) {
        val nowSilent = reports.keys.filterTo(HashSet()) { isSilent(it, now) }
        dirty += nowSilent - silent
        dirty += silent - nowSilent
        silent = nowSilent
    }

    /** Returns the servers that changed since the last call; the value is null for those that are gone. */
    fun drainChanged(): Map<ServerId, KnownServer?> {
        val changed = dirty.associateWith { server -> rows[server]?.takeIf { it.isUp }?.let(::toKnownServer) }
        dirty.clear()
        return changed
    }

    private fun toKnownServer(row: ServerRow): KnownServer {
        val report = reports[row.server]
        val facts = if (row.server in silent) row.facts.copy(leaving = true) else row.facts
        return KnownServer(facts, report?.load ?: ServerLoad(), report?.receivedMs ?: changedMs.getValue(row.server))
    }

    private fun timeoutStartMs(server: ServerId, sinceMs: Long): Long =
        reports[server]?.receivedMs ?: (sinceMs + times.ownershipGraceMs)

    private fun putValid(row: ServerRow, now: Long): AnnouncementResult {
        put(row, now)
        return AnnouncementResult.Valid(row)
    }

    private fun put(row: ServerRow, now: Long) {
        val old = rows.put(row.server, row)
        if (old != null && old.facts.incarnation != row.facts.incarnation) reports.remove(row.server)
        if (row.gone) reports.remove(row.server)
        changedMs[row.server] = now
        version++
        dirty += row.server
    }

    private fun conflicts(facts: ServerFacts, known: ServerRow): List<Finding> = findings("announcement") {
        check(facts.incarnation == known.facts.incarnation, "facts.incarnation") {
            "${facts.server} is already known with the later incarnation ${known.facts.incarnation}."
        }
        check(known.gone || facts.address == known.facts.address, "facts.address") {
            "${facts.server} is already live at ${known.facts.address} in this incarnation."
        }
        check(known.gone || facts.dataCentre == known.facts.dataCentre, "facts.data_centre") {
            "${facts.server} is already live in ${known.facts.dataCentre} in this incarnation."
        }
    }
}
