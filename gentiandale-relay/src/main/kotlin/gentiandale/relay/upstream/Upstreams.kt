package gentiandale.relay.upstream

import gentiandale.core.Address
import gentiandale.core.ServerId
import gentiandale.relay.backend.Backend
import gentiandale.relay.forward.ServerMonitor

/**
 * Connection pools of all backend servers. Confined to the event loop.
 *
 * @param crashes tells servers whose process has ended from those that have only closed a connection.
 * @param monitor is told of each connection that was opened to a server, or could not be opened.
 */
internal class Upstreams(
    private val transport: Transport,
    private val dialect: Dialect,
    private val observer: ConnectionObserver,
    private val nowMs: () -> Long,
    private val maxConnections: (Backend) -> Int,
    val crashes: CrashDetector,
    val monitor: ServerMonitor,
) {
    private data class Key(val id: ServerId, val address: Address, val incarnation: Long)

    private val pools = HashMap<Key, ServerConnectionPool>()

    /**
     * Sends a request to [backend] over a connection that has been idle for at most [maxIdleMs] milliseconds and has
     * not carried a request with [requestId] before.
     */
    fun send(backend: Backend, requestId: String?, maxIdleMs: Long, listener: AnswerListener): Exchange {
        val exchange = Exchange(listener, requestId)
        poolOf(backend).send(exchange, maxIdleMs)
        return exchange
    }

    /** Closes the connections to [backend], which has restarted or moved; answers in progress are read to their end. */
    fun closePool(backend: Backend) {
        pools.remove(keyOf(backend))?.close()
    }

    private fun poolOf(backend: Backend) = pools.getOrPut(keyOf(backend)) {
        ServerConnectionPool(
            backend.row.address,
            transport,
            dialect,
            observer,
            nowMs,
            maxConnections = { maxConnections(backend) },
            onConnect = { isOpen -> monitor.onConnect(backend, isOpen) },
        )
    }

    private fun keyOf(backend: Backend) = with(backend.row) { Key(id, address, incarnation.value) }
}
