package gentiandale.relay.upstream

import gentiandale.core.Address
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder

/**
 * Connection pool of one backend server. The most recently used connection is reused first, so that surplus ones
 * expire and are closed.
 *
 * @param maxConnections returns the maximum number of connections of this VM to the server.
 * @param onConnect called with whether a connection was opened.
 */
internal class ServerConnectionPool(
    val address: Address,
    private val transport: Transport,
    private val dialect: Dialect,
    val observer: ConnectionObserver,
    val nowMs: () -> Long,
    private val maxConnections: () -> Int,
    private val onConnect: (isOpen: Boolean) -> Unit,
) {
    private val idle = ArrayDeque<UpstreamConnection>()
    private var open = 0
    private var isClosed = false

    /** Number of connections that are open or being opened. */
    val size: Int get() = open

    /**
     * Sends the request of [exchange] over a connection that has been idle for at most [maxIdleMs] milliseconds and has
     * not carried a request with the same id before, or over a new one. Returns before the listener of [exchange] is
     * called, which may start the next send at once.
     */
    fun send(exchange: Exchange, maxIdleMs: Long) {
        transport.loop.execute {
            try {
                if (!exchange.isOver) place(exchange, maxIdleMs)
            } catch (e: IllegalArgumentException) {
                failUnsent(exchange, "error: $e")
            }
        }
    }

    private fun place(exchange: Exchange, maxIdleMs: Long) {
        // A late copy of an earlier answer passes for the answer to a request without an id.
        val ready = exchange.requestId?.let { takeIdle(maxIdleMs, it) }
        when {
            ready != null -> start(exchange, ready)
            open >= maxConnections() && !closeOldestIdle() -> failUnsent(exchange, "all $open connections in use")
            else -> connect(exchange)
        }
    }

    fun onIdle(connection: UpstreamConnection) {
        if (isClosed) connection.close() else idle.addLast(connection)
    }

    fun onClosed(connection: UpstreamConnection) {
        open--
        idle.remove(connection)
    }

    /** Closes idle connections now, and the others after their current answer. */
    fun close() {
        isClosed = true
        idle.toList().forEach { it.close() }
    }

    private fun takeIdle(maxIdleMs: Long, requestId: String): UpstreamConnection? {
        val now = nowMs()
        val skipped = ArrayDeque<UpstreamConnection>()
        var found: UpstreamConnection? = null
        while (found == null && idle.isNotEmpty()) {
            val last = idle.removeLast()
            when {
                !last.isUsable || now >= last.usableUntilMs -> last.close()
                now - last.idleSinceMs > maxIdleMs || last.hasCarried(requestId) -> skipped.addFirst(last)
                else -> found = last
            }
        }
        idle += skipped
        return found
    }

    private fun closeOldestIdle(): Boolean {
        val oldest = idle.removeFirstOrNull() ?: return false
        oldest.close()
        return true
    }

    private fun connect(exchange: Exchange) {
        val bootstrap = transport.client(CONNECT_TIMEOUT_MS).handler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val decoder = AnswerDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, dialect)
                val connection = UpstreamConnection(channel, decoder, dialect, this@ServerConnectionPool)
                channel.pipeline().addLast(HttpRequestEncoder(), decoder, connection)
            }
        })
        val connected = bootstrap.connect(address.host, address.port)
        open++
        connected.addListener { onConnected(exchange, it as ChannelFuture) }
    }

    private fun onConnected(exchange: Exchange, future: ChannelFuture) {
        onConnect(future.isSuccess)
        if (!future.isSuccess) {
            open--
            return failUnsent(exchange, "connecting to $address failed: ${future.cause()?.message}")
        }
        start(exchange, future.channel().pipeline().get(UpstreamConnection::class.java))
    }

    private fun start(exchange: Exchange, connection: UpstreamConnection) {
        val request = if (exchange.isOver) null else exchange.listener.onConnected()
        if (request == null) return onIdle(connection)
        connection.send(exchange, request)
    }

    private fun failUnsent(exchange: Exchange, reason: String) {
        if (exchange.isOver) return
        exchange.isOver = true
        exchange.listener.onFailure(SendFailure.NotSent(reason))
    }

    private companion object {
        /** Several round trips between data centres; a lost SYN would be retransmitted only after a second. */
        const val CONNECT_TIMEOUT_MS = 250
        const val MAX_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 65_536
        const val MAX_CHUNK_BYTES = 65_536
    }
}
