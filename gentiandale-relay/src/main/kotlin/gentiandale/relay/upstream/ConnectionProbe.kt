package gentiandale.relay.upstream

import gentiandale.core.Address
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ConnectTimeoutException
import java.net.ConnectException

/** Result of opening a connection to a server. */
internal sealed interface ProbeResult {
    /** The server has accepted it. */
    data object Accepted : ProbeResult

    /** The server has refused it, as one without a process does. */
    data object Refused : ProbeResult

    /** It was not opened in time, or failed on the way. */
    data class Failed(val reason: String?) : ProbeResult
}

/** Opens connections without a request, and closes them. Confined to the event loop. */
internal class ConnectionProbe(private val transport: Transport) {
    /** Opens a connection to [address] and passes the result to [onResult]. */
    fun open(address: Address, onResult: (ProbeResult) -> Unit) {
        val bootstrap = transport.client(CONNECT_TIMEOUT_MS).handler(ChannelInboundHandlerAdapter())
        bootstrap.connect(address.host, address.port).addListener { connected ->
            (connected as ChannelFuture).channel().close()
            onResult(resultOf(connected.cause()))
        }
    }

    private fun resultOf(cause: Throwable?): ProbeResult = when (cause) {
        null -> ProbeResult.Accepted
        is ConnectTimeoutException -> ProbeResult.Failed(cause.message)
        is ConnectException -> ProbeResult.Refused
        else -> ProbeResult.Failed(cause.message)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 250
    }
}
