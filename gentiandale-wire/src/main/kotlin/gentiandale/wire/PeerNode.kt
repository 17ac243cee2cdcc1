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
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Handles the messages of one channel. */
public fun interface MessageHandler {
    /** Handles [payload], sent by [from]; a result that is not null is sent as the reply to a call. */
    public suspend fun handle(from: VmId, payload: ByteArray): ByteArray?
}

/**
 * Exchanges messages with the other processes over TCP: listens, keeps a connection to each peer that it sends to, and
 * passes received messages to the handler of their channel. Messages may be lost, but are never altered. Messages to
 * one peer keep their order while the connection lasts.
 *
 * @param self the VM of this process.
 * @param filter decides which messages pass; tests simulate network partitions with it.
 */
public class PeerNode(public val self: VmId, private val filter: LinkFilter = LinkFilter.OPEN) : AutoCloseable {
    private val log = LoggerFactory.getLogger(PeerNode::class.java)

    // Sockets run on this dispatcher too, so that a message is read and decoded without a change of threads.
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selectorThread = Executors.newSingleThreadExecutor {
        Thread(it, SELECTOR_THREAD).apply { isDaemon = true }
    }
    private val selector = SelectorManager(selectorThread.asCoroutineDispatcher())
    private val handlers = ConcurrentHashMap<Channel, MessageHandler>()
    private val addresses = ConcurrentHashMap<VmId, Address>()
    private val links = ConcurrentHashMap<VmId, PeerLink>()
    private val pendingCalls = ConcurrentHashMap<Long, CompletableDeferred<ByteArray>>()

    /** Starts anywhere, so that a late reply to an earlier process of this VM fits no call of this one. */
    private val lastCallNumber = AtomicLong(Random.nextLong(1, Long.MAX_VALUE / 2))
    private val sentBytes = AtomicLong()
    private var server: ServerSocket? = null

    /** Bytes sent since the start, frame lengths included. */
    public val bytesSent: Long get() = sentBytes.get()

    /** Starts to listen on [address] and returns the port, which the system chooses if the given port is 0. */
    public suspend fun listen(address: Address): Int {
        val socket = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        server = socket
        scope.launch { acceptAll(socket) }
        scope.launch { checkPings() }
        return socket.port
    }

    /** Sets the [handler] of [channel]. */
    public fun handle(channel: Channel, handler: MessageHandler) {
        handlers[channel] = handler
    }

    /** Sets the address at which [peer] listens. */
    public fun setAddress(peer: VmId, address: Address) {
        val old = addresses.put(peer, address)
        if (old != null && old != address) links.remove(peer)?.close()
    }

    /** Queues [payload] for [peer] and returns at once. It is dropped if the peer can't be reached. */
    public fun send(peer: VmId, channel: Channel, payload: ByteArray) {
        post(peer, Envelope(self, channel, 0, reply = false, payload))
    }

    /** Sends [payload] to [peer] and returns its reply, or null if none arrives within [timeoutMs] milliseconds. */
    public suspend fun call(peer: VmId, channel: Channel, payload: ByteArray, timeoutMs: Long): ByteArray? {
        val number = lastCallNumber.incrementAndGet()
        val reply = CompletableDeferred<ByteArray>()
        pendingCalls[number] = reply
        try {
            post(peer, Envelope(self, channel, number, reply = false, payload))
            return withTimeoutOrNull(timeoutMs) { reply.await() }
        } finally {
            pendingCalls.remove(number)
        }
    }

    /** Returns whether a connection to [peer] is open, as far as this process knows. */
    internal fun isConnectedTo(peer: VmId): Boolean = links[peer]?.isConnected ?: false

    override fun close() {
        server?.close()
        links.values.forEach { it.close() }
        scope.cancel()
        selector.close()
        selectorThread.shutdown()
    }

    private fun post(peer: VmId, envelope: Envelope) {
        if (!filter.passes(self, peer, envelope.channel)) return
        val address = addresses[peer] ?: return
        val link = links.computeIfAbsent(peer) { PeerLink(self, address, selector, scope, sentBytes::addAndGet) }
        link.offer(envelope)
    }

    /** Closes the connections whose peer does not answer pings; one timer serves all links. */
    private suspend fun checkPings() {
        while (scope.isActive) {
            delay(PING_CHECK_INTERVAL_MS)
            links.values.forEach { it.checkPing() }
        }
    }

    private suspend fun acceptAll(socket: ServerSocket) {
        while (scope.isActive) {
            val accepted = try {
                socket.accept()
            } catch (e: IOException) {
                log.debug("wire: stopped accepting connections: {}", e.message)
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
            log.debug("wire: closing an incoming connection after an error: {}", e.message)
        } finally {
            socket.close()
        }
    }

    private suspend fun dispatch(envelope: Envelope) {
        if (envelope.reply) {
            pendingCalls.remove(envelope.call)?.complete(envelope.payload)
            return
        }
        val handler = handlers[envelope.channel] ?: return
        if (envelope.call == 0L) {
            handler.handle(envelope.from, envelope.payload)
        } else {
            scope.launch { handleCall(handler, envelope) }
        }
    }

    private suspend fun handleCall(handler: MessageHandler, envelope: Envelope) {
        val result = handler.handle(envelope.from, envelope.payload) ?: return
        post(envelope.from, Envelope(self, envelope.channel, envelope.call, reply = true, result))
    }

    private companion object {
        const val PONG: Byte = 1
        const val SELECTOR_THREAD = "gentiandale-selector"

        /** Interval of the check for ping timeouts. */
        const val PING_CHECK_INTERVAL_MS = 250L
    }
}
