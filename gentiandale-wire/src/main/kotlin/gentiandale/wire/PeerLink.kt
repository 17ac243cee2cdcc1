package gentiandale.wire

import gentiandale.core.Address
import gentiandale.core.VmId
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByte
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import kotlinx.coroutines.channels.Channel as Mailbox

/**
 * Sends frames to one address over a connection that is opened again after each loss. A connection that carries frames
 * is checked by pings and replaced when the peer stops answering them.
 */
internal class PeerLink(
    self: VmId,
    private val address: Address,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val onSent: (Long) -> Unit,
) {
    private val log = LoggerFactory.getLogger(PeerLink::class.java)
    private val mailbox = Mailbox<ByteArray>(MAX_QUEUED_FRAMES, BufferOverflow.DROP_OLDEST)
    private val ping = encodeFrame(Envelope(self, Channel.LINK, 0, reply = false, ByteArray(0)))
    private val job = scope.launch { run() }

    @Volatile
    private var pings: PingTracker? = null

    @Volatile
    private var connection: Job? = null

    /** Whether a connection is open, as far as this process knows. */
    @Volatile
    var isConnected: Boolean = false
        private set

    fun offer(envelope: Envelope) {
        mailbox.trySend(encodeFrame(envelope))
    }

    /** Closes the connection if the peer has not answered a ping in time. */
    fun checkPing() {
        if (pings?.isTimedOut() != true) return
        log.debug("wire: {} did not answer a ping within {} ns", address, PING_TIMEOUT_NANOS)
        connection?.cancel()
    }

    fun close() {
        job.cancel()
        mailbox.close()
    }

    private suspend fun run() {
        while (scope.isActive) {
            try {
                connectAndWrite()
            } catch (e: CancellationException) {
                if (!scope.isActive || !job.isActive) throw e
            } catch (e: Exception) {
                log.debug("wire: connection to {} failed: {}", address, e.message)
            }
            delay(RECONNECT_DELAY_MS)
        }
    }

    private suspend fun connectAndWrite() {
        val first = mailbox.receive()
        val socket = withTimeout(CONNECT_TIMEOUT_MS) { aSocket(selector).tcp().connect(address.host, address.port) }
        try {
            isConnected = true
            socket.use { writeUntilClosed(it, first) }
        } finally {
            isConnected = false
            pings = null
            connection = null
        }
    }

    /** Writes until either side closes the connection or a ping times out. The peer answers each ping with one byte. */
    private suspend fun writeUntilClosed(socket: Socket, first: ByteArray) = coroutineScope {
        val tracker = PingTracker()
        pings = tracker
        connection = coroutineContext.job
        launch {
            val input = socket.openReadChannel()
            while (true) {
                input.readByte()
                tracker.onPong()
            }
        }
        writeAll(socket, first, tracker)
    }

    private suspend fun writeAll(socket: Socket, first: ByteArray, pings: PingTracker) {
        val output = socket.openWriteChannel(autoFlush = false)
        var frame: ByteArray? = first
        while (true) {
            val next = frame ?: mailbox.receive()
            writeFrame(output, next)
            onSent(next.size.toLong())
            if (pings.startPing()) writeFrame(output, ping)
            frame = mailbox.tryReceive().getOrNull()
            if (frame == null) output.flush()
        }
    }

    /** Allows at most one unanswered ping, one per [PING_INTERVAL_NANOS], and measures how long it is unanswered. */
    private class PingTracker {
        @Volatile
        private var pingSentNanos = NONE
        private var lastPingNanos = NONE

        fun startPing(): Boolean {
            val now = System.nanoTime()
            if (pingSentNanos != NONE) return false
            if (lastPingNanos != NONE && now - lastPingNanos < PING_INTERVAL_NANOS) return false
            lastPingNanos = now
            pingSentNanos = now
            return true
        }

        fun onPong() {
            pingSentNanos = NONE
        }

        fun isTimedOut(): Boolean {
            val sentNanos = pingSentNanos
            return sentNanos != NONE && System.nanoTime() - sentNanos > PING_TIMEOUT_NANOS
        }

        private companion object {
            const val NONE = Long.MIN_VALUE
        }
    }

    private companion object {
        const val MAX_QUEUED_FRAMES = 1_024
        const val RECONNECT_DELAY_MS = 50L

        /** Longer than a round trip between regions with one retransmitted packet. */
        const val CONNECT_TIMEOUT_MS = 700L

        /** Minimum time between two pings on a busy connection. */
        const val PING_INTERVAL_NANOS = 500_000_000L

        /** Several retransmissions of a lost packet; well below the time within which a change must take effect. */
        const val PING_TIMEOUT_NANOS = 1_000_000_000L
    }
}
