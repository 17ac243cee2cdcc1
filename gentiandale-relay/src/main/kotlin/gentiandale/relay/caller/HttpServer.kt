package gentiandale.relay.caller

import gentiandale.core.Address
import gentiandale.core.log.EventLog
import gentiandale.relay.routing.HttpServerLimits
import gentiandale.relay.upstream.Transport
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelPipeline
import io.netty.channel.socket.SocketChannel
import java.net.InetSocketAddress

/**
 * HTTP server for callers, backend servers, operators, metrics scrapes and readiness checks.
 *
 * @param limits returns the limits in force.
 */
public class HttpServer(
    private val transport: Transport,
    internal val nowMs: () -> Long,
    private val limits: () -> HttpServerLimits,
    service: HttpServerHandler,
    private val log: EventLog,
) {
    private val service = GuardedHttpServerHandler(service, log)
    private val connections = LinkedHashSet<HttpServerConnection>()

    @Volatile
    private var listening: Channel? = null
    private var lastActivityMs = 0L

    /** Whether answers ask clients to close the connection. Set on the event loop. */
    public var isDraining: Boolean = false

    /** Number of connections that have been accepted. Read on the event loop. */
    internal var acceptedCount: Long = 0
        private set

    /** Number of open connections. Read on the event loop. */
    public val openCount: Int get() = connections.size

    /** Whether a request is being read or served. Read on the event loop. */
    public val isBusy: Boolean get() = connections.any { it.isBusy }

    /** Milliseconds since the last request, the last answer or the last new connection; 0 while [isBusy]. */
    internal val quietMs: Long get() = if (isBusy) 0 else nowMs() - lastActivityMs

    /** Whether connections are accepted. */
    public val isListening: Boolean get() = listening?.isActive == true

    /** Whether [close] has been called. */
    @Volatile
    public var isClosed: Boolean = false
        private set

    /**
     * Starts listening on [address] and returns the bound port.
     *
     * @throws java.io.IOException if the port can't be opened.
     */
    public fun listen(address: Address): Int = portOf(bind(address, ::addHandlers).sync())

    /**
     * Starts listening on [address] and returns the bound port. The bytes of connections that don't begin with a
     * request are passed on to [others], and back.
     *
     * @throws java.io.IOException if the port can't be opened.
     */
    public fun listenShared(address: Address, others: Address): Int {
        val bound = bind(address) { pipeline ->
            val detector = ProtocolDetector(limits().headerTimeoutMs, ::addHandlers) {
                it.addLast(TcpPipe(transport, others))
            }
            pipeline.addLast(detector)
        }
        return portOf(bound.sync())
    }

    /** Starts listening on [address], unless [close] is called first, and returns the result without waiting. */
    public fun bind(address: Address): ChannelFuture = bind(address, ::addHandlers)

    private fun bind(address: Address, initialize: (ChannelPipeline) -> Unit): ChannelFuture {
        val bootstrap = transport.server().childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) = initialize(channel.pipeline())
        })
        return bootstrap.bind(address.host, address.port).addListener(ChannelFutureListener(::onBound))
    }

    private fun addHandlers(pipeline: ChannelPipeline) {
        val encoder = HttpServerResponseEncoder()
        pipeline.addLast(
            HttpServerRequestDecoder(limits()),
            encoder,
            HttpServerConnection(pipeline.channel(), encoder, limits, service, this, log),
        )
    }

    private fun portOf(bound: ChannelFuture) = (bound.channel().localAddress() as InetSocketAddress).port

    private fun onBound(bound: ChannelFuture) {
        if (bound.isSuccess) listening = bound.channel()
        if (isClosed) close()
    }

    /**
     * Closes the connections without a request that have been opened, and have received bytes, at least
     * [silentMs] milliseconds ago. Called on the event loop.
     */
    internal fun closeIdle(silentMs: Long) {
        val idle = connections.filter { !it.isBusy && nowMs() - it.lastInputMs >= silentMs }
        idle.forEach { it.close("idle in a shutdown") }
    }

    /** Stops listening; open connections stay open. */
    public fun close() {
        isClosed = true
        listening?.close()
    }

    /** Returns the number of a new connection. */
    internal fun nextNumber(): Long = ++acceptedCount

    internal fun onActivity() {
        lastActivityMs = nowMs()
    }

    internal fun onOpened(connection: HttpServerConnection) {
        connections += connection
        onActivity()
    }

    internal fun onClosed(connection: HttpServerConnection) {
        connections -= connection
    }
}
