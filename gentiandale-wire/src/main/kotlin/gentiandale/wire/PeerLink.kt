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
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlinx.coroutines.channels.Channel as Mailbox

/**
 * Sends frames to one address over a connection that it makes again after each loss. A connection that carries frames
 * is checked by pings, so that one that went silent is replaced.
 */
internal class PeerLink(
    self: VmId,
    private val address: Address,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val onSent: (Long) -> Unit,
) {
    private val log = LoggerFactory.getLogger(PeerLink::class.java)
    private val mailbox = Mailbox<ByteArray>(MAX_WAITING, BufferOverflow.DROP_OLDEST)
    private val ping = encodeFrame(Envelope(self, Channel.LINK, 0, reply = false, ByteArray(0)))
    private val job = scope.launch { run() }

    /** Whether a connection stands, as far as this end knows. */
    @Volatile
    var isConnected: Boolean = false
        private set

    fun offer(envelope: Envelope) {
        mailbox.trySend(encodeFrame(envelope))
    }

    fun close() {
        job.cancel()
        mailbox.close()
    }

    private suspend fun run() {
        while (scope.isActive) {
            try {
                drain()
            } catch (e: CancellationException) {
                if (!scope.isActive || !job.isActive) throw e
            } catch (e: Exception) {
                log.debug("wire: no link to {}: {}", address, e.message)
            }
            delay(RECONNECT_DELAY_MS)
        }
    }

    private suspend fun drain() {
        val first = mailbox.receive()
        val socket = withTimeout(CONNECT_TIMEOUT_MS) { aSocket(selector).tcp().connect(address.host, address.port) }
        try {
            isConnected = true
            socket.use { writeUntilClosed(it, first) }
        } finally {
            isConnected = false
        }
    }

    /** Writes until the connection ends at either side or goes silent. The peer writes one byte for each ping. */
    private suspend fun writeUntilClosed(socket: Socket, first: ByteArray) = coroutineScope {
        val check = SilenceCheck()
        launch {
            val input = socket.openReadChannel()
            while (true) {
                input.readByte()
                check.onPong()
            }
        }
        launch {
            while (true) {
                delay(CHECK_INTERVAL_MS)
                if (check.isSilent()) throw SilentLink()
            }
        }
        writeAll(socket, first, check)
    }

    private suspend fun writeAll(socket: Socket, first: ByteArray, check: SilenceCheck) {
        val output = socket.openWriteChannel(autoFlush = false)
        var frame: ByteArray? = first
        while (true) {
            val next = frame ?: mailbox.receive()
            writeFrame(output, next)
            onSent(next.size.toLong())
            if (check.startPing()) writeFrame(output, ping)
            frame = mailbox.tryReceive().getOrNull()
            if (frame == null) output.flush()
        }
    }

    private class SilentLink : IOException("the peer does not answer pings")

    /** Keeps at most one ping on its way, and knows for how long it has not been answered. */
    private class SilenceCheck {
        @Volatile
        private var pingedAt = NONE

        fun startPing(): Boolean {
            if (pingedAt != NONE) return false
            pingedAt = System.nanoTime()
            return true
        }

        fun onPong() {
            pingedAt = NONE
        }

        fun isSilent(): Boolean {
            val at = pingedAt
            return at != NONE && System.nanoTime() - at > SILENCE_NANOS
        }

        private companion object {
            const val NONE = Long.MIN_VALUE
        }
    }

    private companion object {
        const val MAX_WAITING = 1_024
        const val RECONNECT_DELAY_MS = 50L

        /** Longer than the round trip between regions and a repeated packet. */
        const val CONNECT_TIMEOUT_MS = 700L

        /** Interval of the check for silence. */
        const val CHECK_INTERVAL_MS = 250L

        /** Several times the repeat of a lost packet; well below the time in which a change must be in force. */
        const val SILENCE_NANOS = 1_000_000_000L
    }
}
