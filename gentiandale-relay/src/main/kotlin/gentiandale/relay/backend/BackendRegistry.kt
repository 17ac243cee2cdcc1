package gentiandale.relay.backend

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.BackendTable
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.SoftwareVersion

/** Registry of the backend servers known to one entry VM. Confined to one thread. */
public class BackendRegistry {
    private val table = BackendTable()
    private val backends = HashMap<ServerId, Backend>()

    /** Speeds at which engines read prompts. */
    public val speeds: ReadSpeeds = ReadSpeeds()

    /** Number of entry VMs that share the limits of servers. */
    public var entryVms: Int = 1
        set(value) {
            if (value != field) knownShared = null
            field = value
        }

    private var knownShared: Set<ServiceName>? = null

    /** Services with fewer places in all than there are entry VMs; prefill servers don't count. */
    public val sharedServices: Set<ServiceName> get() = knownShared ?: findShared().also { knownShared = it }

    private fun findShared(): Set<ServiceName> = backends.values.filter { it.row.kind != ServerKind.PREFILL }
        .groupBy { it.row.service }
        .filterValues { servers -> servers.sumOf { it.row.places } < entryVms }
        .keys

    /** Called with a server that has restarted or moved, so that its connections can be closed. */
    public var onReplaced: (Backend) -> Unit = {}

    /** Digest of the rows, used to compare them with other VMs. */
    public val digest: Long get() = table.digest()

    /** Number of servers that accept work. */
    public val readyCount: Int get() = backends.values.count { it.isReady }

    /** All rows, including tombstones. */
    public val rows: Collection<BackendRow> get() = table.all

    /** Returns the server with [id], or null. */
    public operator fun get(id: ServerId): Backend? = backends[id]

    /** All servers except those that are gone. */
    public val all: Collection<Backend> get() = backends.values

    /** Returns the software versions of the servers of [services] that are not gone. */
    public fun versions(services: Set<ServiceName>): Set<SoftwareVersion> =
        backends.values.filter { it.row.service in services }.mapTo(HashSet()) { it.row.software }

    /** Returns the servers of [service] that accept new work at [nowMs]. */
    public fun ready(service: ServiceName, nowMs: Long): List<Backend> =
        backends.values.filter { it.row.service == service && it.isReady && !it.isResting(nowMs) }

    /**
     * Returns the milliseconds from [nowMs] until the first server of [service] has rested, or null if one accepts work
     * now or none will.
     */
    public fun restLeftMs(service: ServiceName, nowMs: Long): Long? {
        val ready = backends.values.filter { it.row.service == service && it.isReady }
        val leftMs = ready.minOfOrNull { it.restUntilMs - nowMs } ?: return null
        return leftMs.takeIf { it > 0 }
    }

    /** Merges [row] and returns the rows that changed. */
    public fun merge(row: BackendRow): List<BackendRow> {
        val changed = table.merge(row)
        changed.forEach(::apply)
        return changed
    }

    private fun apply(row: BackendRow) {
        knownShared = null
        val known = backends[row.id]
        if (known != null && (known.row.incarnation != row.incarnation || known.row.address != row.address)) {
            backends.remove(row.id)
            onReplaced(known)
        }
        if (row.state == BackendState.GONE) {
            backends.remove(row.id)?.update(row)
        } else {
            backends.getOrPut(row.id) { Backend(row, speeds) }.update(row)
        }
    }
}
