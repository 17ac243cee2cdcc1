package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow

/** Servers of one service that take new work, with their load and the grants that no load contains yet. */
internal sealed class CapacityPool {
    /** A server with the requests and tokens granted in addition to its [load]. */
    protected class Server(val row: BackendRow, val load: AssignedLoad) {
        var grants = 0
        var grantedTokens = 0L

        /** Requests in progress and granted ones. */
        val running: Int get() = load.running + grants
    }

    protected abstract val servers: List<Server>

    /** Whether no server takes new work. */
    val isEmpty: Boolean get() = servers.isEmpty()

    /** Places of all servers if that determines the capacity, else 0. */
    abstract val places: Int

    /** Share of the places in use if that determines the capacity, else 0. */
    abstract val usage: Double

    /** Returns the best server with room for a request that needs [tokens] of memory, or null. */
    abstract fun find(tokens: Int): ServerId?

    /** Counts a granted request with [tokens] at the server [id]. */
    fun occupy(id: ServerId, tokens: Int) {
        val server = servers.find { it.row.id == id } ?: return
        server.grants++
        server.grantedTokens += tokens
    }

    /**
     * Servers of a plain service. A call counts from its grant until its end is reported, which takes about a third
     * longer than the server works on it. So half as many calls more than a server has places keep these in use.
     */
    class Plain(rows: List<BackendRow>, load: (ServerId) -> AssignedLoad) : CapacityPool() {
        override val servers = rows.map { Server(it, load(it.id)) }
        override val places: Int get() = servers.sumOf { it.row.places }
        override val usage: Double
            get() = if (places == 0) 0.0 else servers.sumOf { it.running }.toDouble() / places

        override fun find(tokens: Int): ServerId? = servers
            .filter { it.running < it.row.places + (it.row.places + 1) / 2 }
            .minByOrNull { it.running.toDouble() / it.row.places.coerceAtLeast(1) }?.row?.id
    }

    /** Decode servers, with the limits that entry VMs use when they place a generation. */
    class Engines(rows: List<BackendRow>, private val engine: EngineCapacity, load: (ServerId) -> AssignedLoad) :
        CapacityPool() {
        override val servers = rows.filter { it.kind == ServerKind.DECODE }.map { Server(it, load(it.id)) }
        override val places: Int get() = 0
        override val usage: Double get() = 0.0

        override fun find(tokens: Int): ServerId? = servers.filter { hasRoom(it, tokens) }
            .minByOrNull { it.load.peakTokens + it.grantedTokens }?.row?.id

        /** An empty server takes a generation of any size, as otherwise some would never run. */
        private fun hasRoom(server: Server, tokens: Int): Boolean {
            if (server.running >= engine.places) return false
            val added = server.grantedTokens + tokens
            if (server.load.memoryTokens == 0L && server.grants == 0) return true
            val projected = server.load.projectedTokens.maxOrNull()?.toLong() ?: server.load.memoryTokens
            return projected + added <= engine.memoryTokens * MAX_PROJECTED_SHARE &&
                server.load.memoryTokens + added <= engine.memoryTokens * MAX_CURRENT_SHARE
        }
    }

    private companion object {
        /** Share of the memory that is used before the generations in progress have grown. */
        const val MAX_CURRENT_SHARE = 0.9

        /** Share of the memory that they may take once they have grown. */
        const val MAX_PROJECTED_SHARE = 0.82
    }
}
