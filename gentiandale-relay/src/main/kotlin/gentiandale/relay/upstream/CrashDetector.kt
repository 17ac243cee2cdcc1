package gentiandale.relay.upstream

import gentiandale.core.Address
import gentiandale.core.backend.CrashId
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ConnectTimeoutException
import java.net.ConnectException
import java.util.concurrent.TimeUnit

/**
 * Tells the crash of a server from a single broken connection: a server whose process has ended refuses connections.
 * Confined to the event loop.
 */
internal class CrashDetector(private val transport: Transport) {
    private val pending = HashMap<CrashId, ArrayList<() -> Unit>>()

    /** Calls [onCrash] if the server [id] at [address], which has just broken a connection, refuses new ones. */
    fun check(id: CrashId, address: Address, onCrash: () -> Unit) {
        val waiting = pending[id]
        if (waiting != null) {
            waiting += onCrash
            return
        }
        pending[id] = arrayListOf(onCrash)
        connect(id, address, 1)
    }

    private fun connect(id: CrashId, address: Address, attempt: Int) {
        val bootstrap = transport.client(CONNECT_TIMEOUT_MS).handler(ChannelInboundHandlerAdapter())
        bootstrap.connect(address.host, address.port).addListener { connected ->
            (connected as ChannelFuture).channel().close()
            val isRefused = connected.cause().let { it is ConnectException && it !is ConnectTimeoutException }
            when {
                isRefused -> pending.remove(id)?.forEach { it() }
                attempt >= MAX_ATTEMPTS -> pending -= id
                else -> transport.loop.schedule(
                    { connect(id, address, attempt + 1) },
                    RETRY_INTERVAL_MS,
                    TimeUnit.MILLISECONDS,
                )
            }
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 250

        /** A process that ends may close its connections some time before its listening socket. */
        const val MAX_ATTEMPTS = 3
        const val RETRY_INTERVAL_MS = 60L
    }
}
