package gentiandale.relay.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.epoll.EpollChannelOption
import io.netty.channel.epoll.EpollIoHandler
import io.netty.channel.epoll.EpollServerSocketChannel
import io.netty.channel.epoll.EpollSocketChannel

/**
 * The event loop of a process and its sockets. A TCP user timeout and keep-alive probes end connections whose peer
 * no longer responds.
 */
public open class Transport : AutoCloseable {
    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, EpollIoHandler.newFactory())

    /** Event loop on which all code of the relay runs. */
    public val loop: EventLoop = group.next()

    /** Returns a bootstrap for connections to backend servers. */
    internal open fun client(connectTimeoutMs: Int): Bootstrap = Bootstrap()
        .group(loop)
        .channel(EpollSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(EpollChannelOption.TCP_USER_TIMEOUT, SERVER_USER_TIMEOUT_MS)
        .option(EpollChannelOption.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .apply { enableKeepAlive { option, value -> option(option, value) } }

    /** Returns a bootstrap for a listening socket. */
    public fun server(): ServerBootstrap = ServerBootstrap()
        .group(loop)
        .channel(EpollServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(EpollChannelOption.TCP_USER_TIMEOUT, CALLER_USER_TIMEOUT_MS)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .apply { enableKeepAlive { option, value -> childOption(option, value) } }

    /** Configures TCP keep-alive probes by means of [set]. */
    private fun enableKeepAlive(set: (ChannelOption<Int>, Int) -> Unit) {
        set(EpollChannelOption.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        set(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        set(EpollChannelOption.TCP_KEEPCNT, KEEPALIVE_PROBES)
    }

    override fun close() {
        group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** A sound server may stop reading a long body for a second or more. */
        const val SERVER_USER_TIMEOUT_MS = 5_000

        /**
         * Bounds what the system accepts of a request before it can be sent. By default that is over 2 MiB, so that a
         * request counted as written while its server had read almost nothing.
         */
        const val MAX_UNSENT_BYTES = 65_536L

        /** Also ends the connection of a caller that is there and reads nothing, once its receive window is full. */
        const val CALLER_USER_TIMEOUT_MS = 30_000

        /** Idle time in seconds before the first probe and between probes; the minimum of the system is one. */
        const val KEEPALIVE_INTERVAL_S = 2
        const val KEEPALIVE_PROBES = 2

        /** New connections that may wait for the event loop in a burst. */
        const val ACCEPT_BACKLOG = 1_024
    }
}
