package gentiandale.wire

import gentiandale.core.Address
import gentiandale.core.VmId
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.channels.Channel as Mailbox

/**
 * Sends and receives the UDP datagrams of [Channel.MEMBERSHIP] for one process. Datagrams may be lost, duplicated and
 * reordered.
 *
 * @param self the VM of this process.
 * @param filter decides which datagrams this process sends; tests simulate network partitions with it.
 */
public class DatagramNode(private val self: VmId, private val filter: LinkFilter = LinkFilter.OPEN) : AutoCloseable {
    private class OutgoingDatagram(val to: Address, val payload: ByteArray)

    private val log = LoggerFactory.getLogger("gentiandale.wire")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val mailbox = Mailbox<OutgoingDatagram>(MAX_QUEUED_DATAGRAMS, BufferOverflow.DROP_OLDEST)
    private val sentBytes = AtomicLong()
    private var socket: BoundDatagramSocket? = null

    /** Payload bytes sent since the start. */
    public val bytesSent: Long get() = sentBytes.get()

    /** Starts to listen on [address], passes every payload to [receive], and returns the port. */
    public suspend fun listen(address: Address, receive: (ByteArray) -> Unit): Int {
        val bound = aSocket(selector).udp().bind(InetSocketAddress(address.host, address.port))
        socket = bound
        scope.launch { receiveAll(bound, receive) }
        scope.launch { sendAll(bound) }
        return (bound.localAddress as InetSocketAddress).port
    }

    /** Queues [payload] for [peer] at [address] and returns at once. A full queue drops its oldest datagram. */
    public fun send(peer: VmId?, address: Address, payload: ByteArray) {
        if (peer != null && !filter.passes(self, peer, Channel.MEMBERSHIP)) return
        mailbox.trySend(OutgoingDatagram(address, payload))
    }

    override fun close() {
        scope.cancel()
        socket?.close()
        selector.close()
    }

    private suspend fun sendAll(bound: BoundDatagramSocket) {
        for (next in mailbox) {
            dropOnError {
                val packet = Buffer().apply { write(next.payload) }
                bound.send(Datagram(packet, InetSocketAddress(next.to.host, next.to.port)))
                sentBytes.addAndGet(next.payload.size.toLong())
            }
        }
    }

    private suspend fun receiveAll(bound: BoundDatagramSocket, receive: (ByteArray) -> Unit) {
        while (scope.isActive) {
            dropOnError { receive(bound.receive().packet.readByteArray()) }
        }
    }

    private suspend fun dropOnError(action: suspend () -> Unit) {
        try {
            action()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("wire: failed to send or receive a datagram: {}", e.message)
            delay(ERROR_DELAY_MS)
        }
    }

    private companion object {
        const val MAX_QUEUED_DATAGRAMS = 8_192
        const val ERROR_DELAY_MS = 5L
    }
}
