package gentiandale.wire

import gentiandale.core.Address
import gentiandale.core.VmId
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import io.ktor.utils.io.writeByte
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Handles the messages of one channel. */
public fun interface MessageHandler {
    /** Handles [payload] of [from]; a result that is not null is the reply to a call. */
    public suspend fun handle(from: VmId, payload: ByteArray): ByteArray?
}

/**
 * The end of one process in the net of processes: it listens on TCP, keeps a connection to each peer that it
 * talks to, and passes messages to the handler of their channel. Messages may be lost, never altered. Messages
 * to one peer keep their order while the connection lasts.
 *
 * @param self the VM of this process.
 * @param filter which messages pass, for tests of cuts.
 */
public class PeerNode(public val self: VmId, private val filter: LinkFilter = LinkFilter.OPEN) : AutoCloseable {
    private val log = LoggerFactory.getLogger(PeerNode::class.java)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handlers = ConcurrentHashMap<Channel, MessageHandler>()
    private val addresses = ConcurrentHashMap<VmId, Address>()
    private val links = ConcurrentHashMap<VmId, PeerLink>()
    private val calls = ConcurrentHashMap<Long, CompletableDeferred<ByteArray>>()
    private val callNumbers = AtomicLong()
    private val bytes = AtomicLong()
    private var server: ServerSocket? = null

    /** Bytes sent since the start, frames included. */
    public val bytesSent: Long get() = bytes.get()

    /** Starts to listen on [address] and returns the port, which differs from the asked one if that was 0. */
    public suspend fun listen(address: Address): Int {
        val socket = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        server = socket
        scope.launch { acceptAll(socket) }
        return socket.port
    }

    /** Sets the [handler] of [channel]. */
    public fun handle(channel: Channel, handler: MessageHandler) {
        handlers[channel] = handler
    }

    /** Sets where [peer] listens. */
    public fun setAddress(peer: VmId, address: Address) {
        val old = addresses.put(peer, address)
        if (old != null && old != address) links.remove(peer)?.close()
    }

    /** Sends [payload] to [peer] and waits for nothing. It is dropped if the peer can't be reached. */
    public fun send(peer: VmId, channel: Channel, payload: ByteArray) {
        post(peer, Envelope(self, channel, 0, reply = false, payload))
    }

    /** Asks [peer] and returns its reply, or null if none came within [timeoutMs] milliseconds. */
    public suspend fun call(peer: VmId, channel: Channel, payload: ByteArray, timeoutMs: Long): ByteArray? {
        val number = callNumbers.incrementAndGet()
        val reply = CompletableDeferred<ByteArray>()
        calls[number] = reply
        try {
            post(peer, Envelope(self, channel, number, reply = false, payload))
            return withTimeoutOrNull(timeoutMs) { reply.await() }
        } finally {
            calls.remove(number)
        }
    }

    /** Returns whether a connection to [peer] stands, as far as this end knows. */
    internal fun isConnectedTo(peer: VmId): Boolean = links[peer]?.isConnected ?: false

    override fun close() {
        server?.close()
        links.values.forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    private fun post(peer: VmId, envelope: Envelope) {
        if (!filter.passes(self, peer, envelope.channel)) return
        val address = addresses[peer] ?: return
        val link = links.computeIfAbsent(peer) { PeerLink(self, address, selector, scope, bytes::addAndGet) }
        link.offer(envelope)
    }

    private suspend fun acceptAll(socket: ServerSocket) {
        while (scope.isActive) {
            val accepted = try {
                socket.accept()
            } catch (e: IOException) {
                log.debug("wire: no longer listening: {}", e.message)
                return
            }
            scope.launch { readAll(accepted) }
        }
    }

    private suspend fun readAll(socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = true)
        try {
            while (true) {
                val envelope = readFrame(input) ?: break
                when {
                    envelope.channel == Channel.LINK -> output.writeByte(PONG)
                    filter.passes(envelope.from, self, envelope.channel) -> dispatch(envelope)
                }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("wire: connection ended: {}", e.message)
        } finally {
            socket.close()
        }
    }

    private suspend fun dispatch(envelope: Envelope) {
        if (envelope.reply) {
            calls.remove(envelope.call)?.complete(envelope.payload)
            return
        }
        val handler = handlers[envelope.channel] ?: return
        if (envelope.call == 0L) {
            handler.handle(envelope.from, envelope.payload)
        } else {
            scope.launch { answer(handler, envelope) }
        }
    }

    private suspend fun answer(handler: MessageHandler, envelope: Envelope) {
        val result = handler.handle(envelope.from, envelope.payload) ?: return
        post(envelope.from, Envelope(self, envelope.channel, envelope.call, reply = true, result))
    }

    private companion object {
        const val PONG: Byte = 1
    }
}
