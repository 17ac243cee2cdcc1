package gentiandale.relay.forward

import gentiandale.core.ServerId
import gentiandale.core.backend.ServiceName

/** Change of what is known about the path of this VM to a service. */
public sealed interface ReachChange {
    /** Connecting has failed at the servers [failed], and nothing shows that another one is reached. */
    public data class Lost(val failed: Set<ServerId>, val lastReach: Reach?) : ReachChange

    /** A connection to [server] was opened after [lostMs] milliseconds without one. */
    public data class Regained(val server: ServerId, val lostMs: Long) : ReachChange
}

/** The last sign of a server: a byte of an answer or a new connection, at the monotonic time [atMs] in milliseconds. */
public data class Reach(val server: ServerId, val atMs: Long)

/**
 * Whether this VM reaches the servers of each service, as far as its connections show. Servers that have crashed look
 * alike; another VM tells the difference. Confined to one thread.
 */
public class ServerReachability {
    private class State {
        /** Monotonic times in milliseconds of the last failures since a connection was opened. */
        val failedMs = HashMap<ServerId, Long>()

        /** Servers that have failed since the last byte of any. */
        val failedSinceByte = HashSet<ServerId>()
        var lastReach: Reach? = null
        var lostSinceMs: Long? = null
    }

    private val states = HashMap<ServiceName, State>()

    /** Services of which no server is reached. */
    public val lost: List<ServiceName> get() = states.filterValues { it.lostSinceMs != null }.keys.sorted()

    /** Returns whether no server of [service] is reached. */
    public fun isLost(service: ServiceName): Boolean = states[service]?.lostSinceMs != null

    /** Returns the last sign of any server of [service], or null if there was none. */
    public fun lastReach(service: ServiceName): Reach? = states[service]?.lastReach

    /** Records at [nowMs] that a connection to [server] of [service] was opened. */
    public fun onConnected(service: ServiceName, server: ServerId, nowMs: Long): ReachChange? {
        val state = stateOf(service)
        val lostMs = state.lostSinceMs?.let { nowMs - it }
        state.failedMs.clear()
        state.failedSinceByte.clear()
        state.lostSinceMs = null
        state.lastReach = Reach(server, nowMs)
        return lostMs?.let { ReachChange.Regained(server, it) }
    }

    /**
     * Records at [nowMs] that a byte of an answer has come from [server] of [service]. It may come over a connection
     * from before a partition that refuses new ones, so that it doesn't end the loss of a service.
     */
    public fun onByte(service: ServiceName, server: ServerId, nowMs: Long) {
        val state = stateOf(service)
        state.failedSinceByte.clear()
        state.lastReach = Reach(server, nowMs)
    }

    /**
     * Records at [nowMs] that no connection to [server] of [service] could be opened.
     *
     * @param usable servers of the service that accept work.
     */
    public fun onConnectFailed(
        service: ServiceName,
        server: ServerId,
        usable: Set<ServerId>,
        nowMs: Long,
    ): ReachChange? {
        val state = stateOf(service)
        state.failedMs[server] = nowMs
        state.failedSinceByte += server
        state.failedMs.values.removeIf { nowMs - it > EVIDENCE_MS }
        if (state.lostSinceMs != null) return null
        val failed = usable.filterTo(HashSet()) { it in state.failedMs }
        val failedSinceByte = failed.count { it in state.failedSinceByte }
        val isLost = failed.size == usable.size || failedSinceByte >= minOf(usable.size, REQUIRED_SERVERS)
        if (usable.isEmpty() || !isLost) return null
        state.lostSinceMs = nowMs
        return ReachChange.Lost(failed, state.lastReach)
    }

    private fun stateOf(service: ServiceName) = states.getOrPut(service) { State() }

    private companion object {
        /** Servers that must fail without a byte from any other one; two of a service may crash at once. */
        const val REQUIRED_SERVERS = 3

        /** Older failures say nothing about the present. */
        const val EVIDENCE_MS = 3_000L
    }
}
