package gentiandale.fleet

import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendTable
import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.OriginRecords
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.SoftwareVersion

/**
 * Origins of streams that entry VMs have reported to a control VM, and the software versions of servers that it has
 * known. Nothing of it survives the process.
 *
 * @param startMs monotonic time in milliseconds at which the VM started.
 * @param isFirstStart whether no servers could have been in use before that.
 */
internal class OriginDirectory(private val self: VmId, private val startMs: Long, private val isFirstStart: Boolean) {
    private val table = OriginRecords(MAX_ENTRIES)
    private val replaced = HashMap<Pair<ServiceName, SoftwareVersion>, Long>()

    /** Number of recorded streams. */
    val size: Int get() = table.size

    /** Handles [message], and returns the answer, if it is a question. */
    fun receive(message: FleetMessage.OriginMessage, servers: BackendTable, nowMs: Long): FleetMessage? =
        when (message) {
            is FleetMessage.Origins -> {
                record(message, nowMs)
                message.process?.let { servers[it.id] }?.let { table.onRow(it, nowMs) }
                null
            }
            is FleetMessage.OriginQuestion -> answer(message, servers.all, nowMs)
            is FleetMessage.OriginAnswer -> null
        }

    private fun record(message: FleetMessage.Origins, nowMs: Long) {
        val keepMs = message.keepMs.coerceIn(0, MAX_KEEP_MS)
        message.streams.forEach { table.record(it, message.origin, message.process, nowMs, keepMs) }
    }

    /** Records that [row], which was in the table of servers until now, is replaced by [newer]. */
    fun onReplaced(row: BackendRow, newer: BackendRow, nowMs: Long) {
        table.onRow(newer, nowMs)
        replaced.values.removeIf { nowMs - it > MAX_KEEP_MS }
        if (replaced.size < MAX_REPLACED) replaced[row.service to row.software] = nowMs
    }

    /** Answers [question]; [rows] are all known rows of servers, with those of servers that have ended recently. */
    private fun answer(
        question: FleetMessage.OriginQuestion,
        rows: Collection<BackendRow>,
        nowMs: Long,
    ): FleetMessage {
        val found = question.stream?.let { table.find(it, nowMs, self.value) }
        val known = rows.filter { it.service == question.service }.map { it.software }
        val earlier = replaced.filter { (key, ms) -> key.first == question.service && nowMs - ms <= MAX_KEEP_MS }.keys
        return FleetMessage.OriginAnswer(
            question.number,
            (found as? OriginLookup.Found)?.origin,
            isAmbiguous = found is OriginLookup.Ambiguous,
            versions = (known + earlier.map { it.second }).distinct().take(MAX_VERSIONS),
            isComplete = replaced.size < MAX_REPLACED && (isFirstStart || nowMs - startMs > MAX_KEEP_MS),
            unsettledMs = (found as? OriginLookup.Found)?.unsettledMs ?: 0,
        )
    }

    private companion object {
        /** The streams of half a minute that a control VM of a large fleet is told. */
        const val MAX_ENTRIES = 400_000

        /** No caller takes up a stream that began longer ago; rows of ended servers are kept for as long. */
        const val MAX_KEEP_MS = 120_000L

        /** Bounds the memory for versions of servers that have restarted. */
        const val MAX_REPLACED = 1_000

        /** A service with more than one version needs no complete list. */
        const val MAX_VERSIONS = 4
    }
}
