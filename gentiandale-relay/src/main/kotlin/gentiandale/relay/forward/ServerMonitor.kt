package gentiandale.relay.forward

import gentiandale.core.ServerId
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import gentiandale.relay.ReachEvent
import gentiandale.relay.RelayStats
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.BackendRegistry
import gentiandale.relay.upstream.ConnectionProbe
import gentiandale.relay.upstream.ProbeResult
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Watches whether this VM reaches the servers of each service, and opens connections of its own where its requests
 * leave that open. Confined to the event loop.
 */
internal class ServerMonitor(
    private val loop: EventLoop,
    private val nowMs: () -> Long,
    private val registry: BackendRegistry,
    private val probe: ConnectionProbe,
    private val log: EventLog,
    private val stats: RelayStats,
) {
    private val reach = ServerReachability()
    private val checkedMs = HashMap<ServiceName, Long>()
    private var probes = 0

    /** Called after a service was lost or is reached again. */
    var onChange: (ServiceName) -> Unit = {}

    /** Services of which no server is reached. */
    val lost: List<ServiceName> get() = reach.lost

    /** Returns whether a server of [service] is reached, as far as it is known. */
    fun isReached(service: ServiceName): Boolean = !reach.isLost(service)

    /** Records that a connection to [server] was opened, or could not be. */
    fun onConnect(server: Backend, isOpen: Boolean) {
        if (server.isPeer) return
        val service = server.row.service
        val now = nowMs()
        val change = if (isOpen) {
            reach.onConnected(service, server.row.id, now)
        } else {
            reach.onConnectFailed(service, server.row.id, usable(service).mapTo(HashSet()) { it.row.id }, now)
        }
        if (change != null) {
            report(service, change)
        } else if (!isOpen) {
            check(service)
        }
    }

    private fun report(service: ServiceName, change: ReachChange) {
        log.write(ReachEvent(service, change, nowMs()))
        stats.onReachChanged(service.value, isReached = change is ReachChange.Regained)
        if (change is ReachChange.Lost) scheduleProbe(service)
        onChange(service)
    }

    /** Records a byte of an answer of [server]. */
    fun onByte(server: Backend) {
        if (!server.isPeer) reach.onByte(server.row.service, server.row.id, nowMs())
    }

    /** Checks the path to the service of [server], which has not answered a request that was sent at [sentMs]. */
    fun onUnanswered(server: Backend, sentMs: Long) {
        if (server.isPeer) return
        val lastMs = reach.lastReach(server.row.service)?.atMs
        if (lastMs == null || lastMs <= sentMs) check(server.row.service)
    }

    /**
     * Reports to [onResult] whether a server of [service] is reached that is not in [crashed]; if there is no such
     * server, nothing speaks against it.
     */
    fun confirmReach(service: ServiceName, crashed: Set<ServerId>, onResult: (Boolean) -> Unit) {
        val others = usable(service).filter { it.row.id !in crashed }.shuffled().take(CHECKED_SERVERS)
        if (others.isEmpty()) return onResult(true)
        var left = others.size
        var isConfirmed = false
        others.forEach { server ->
            probe.open(server.row.address) { result ->
                val isOpen = result is ProbeResult.Accepted
                onConnect(server, isOpen)
                left--
                if (!isConfirmed && (isOpen || left == 0)) {
                    isConfirmed = true
                    onResult(isOpen)
                }
            }
        }
    }

    /** Opens connections to a few servers of [service], unless one of them has given a sign a moment ago. */
    private fun check(service: ServiceName) {
        val now = nowMs()
        val isQuiet = reach.lastReach(service)?.let { now - it.atMs > RECENT_MS } ?: true
        val isDue = checkedMs[service]?.let { now - it > CHECK_INTERVAL_MS } ?: true
        if (!isQuiet || !isDue || reach.isLost(service)) return
        checkedMs[service] = now
        usable(service).shuffled().take(CHECKED_SERVERS).forEach(::open)
    }

    /** Tries one server of [service] after the other, until one is reached. */
    private fun scheduleProbe(service: ServiceName) {
        loop.schedule({ probeNext(service) }, PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    private fun probeNext(service: ServiceName) {
        if (!reach.isLost(service)) return
        val servers = usable(service)
        if (servers.isNotEmpty()) open(servers[probes++ % servers.size])
        scheduleProbe(service)
    }

    private fun open(server: Backend) = probe.open(server.row.address) { onConnect(server, it is ProbeResult.Accepted) }

    private fun usable(service: ServiceName) = registry.ready(service, nowMs()).sortedBy { it.row.id.value }

    private companion object {
        /** A server that has sent something within this time is taken to be reached. */
        const val RECENT_MS = 150L

        /** Minimum time in milliseconds between two checks of a service. */
        const val CHECK_INTERVAL_MS = 500L

        /** Time in milliseconds between two probes of a service that is not reached. */
        const val PROBE_INTERVAL_MS = 300L

        /** Servers that a check opens connections to; as many as have to fail before a service counts as lost. */
        const val CHECKED_SERVERS = 3
    }
}
