package gentiandale.daemon

import com.linecorp.armeria.common.CommonPools
import gentiandale.core.Address
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * HTTP/1.1 server on raw sockets that writes [answer] as soon as it has the head of a call, and ends the connection by
 * [end]. Its buffers are small, so that a long body is still being written to it by then. It calls [before] first.
 *
 * @param bufferBytes size of the receive buffer.
 */
class RawServer(
    private val answer: String,
    bufferBytes: Int = BUFFER_BYTES,
    private val before: () -> Unit = {},
    private val end: (Socket) -> Unit = {},
) : AutoCloseable {
    private val listening = ServerSocket().apply {
        receiveBufferSize = bufferBytes
        bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
    }
    val address = Address("127.0.0.1", listening.localPort)

    /** Number of calls that have arrived. */
    val calls = AtomicInteger()

    init {
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.use(::serve) } }
            }
        }
    }

    override fun close() = listening.close()

    private fun serve(socket: Socket) {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = socket.getInputStream().read()
            if (next < 0) return
            head.append(next.toChar())
        }
        if (head.startsWith(HTTP2_PREFACE)) return socket.getOutputStream().write(UNSUPPORTED.toByteArray())
        calls.incrementAndGet()
        before()
        socket.getOutputStream().write(answer.toByteArray())
        end(socket)
    }

    companion object {
        private const val BUFFER_BYTES = 16_384
        private const val HTTP2_PREFACE = "PRI * HTTP/2.0"
        private const val UNSUPPORTED = "HTTP/1.1 505 HTTP Version Not Supported\r\ncontent-length: 0\r\n\r\n"

        /** Time for the client to read what precedes the end of a connection. */
        private const val DELIVERY_MS = 50L
        private const val HALF_OPEN_MS = 300L

        /** Fills the buffers of the sockets on both sides many times. */
        const val UPLOAD_BYTES = 8_000_000

        /** Ways in which a connection ends that has carried a part of an answer. */
        val ENDS: Map<String, (Socket) -> Unit> = mapOf(
            "reset" to {
                Thread.sleep(DELIVERY_MS)
                it.setSoLinger(true, 0)
            },
            "reset at once" to { it.setSoLinger(true, 0) },
            "close" to { Thread.sleep(DELIVERY_MS) },
            "half-close" to {
                it.shutdownOutput()
                Thread.sleep(HALF_OPEN_MS)
            },
            "half-close, then reads" to {
                it.shutdownOutput()
                it.getInputStream().skip(Long.MAX_VALUE)
            },
        )

        /** Systems allow that much without further settings. */
        private const val LARGE_BUFFER_BYTES = 212_992

        /**
         * More than the buffers of both sides take while the server doesn't read, by less than it takes in one go after
         * it has read them.
         */
        const val STALLED_BYTES = 750_000

        /** Time for a client to fill the buffers. */
        private const val FILL_MS = 50L

        /** Longer than a server takes to answer and to read what has been sent to it. */
        private const val STALL_MS = 50L

        private fun stallClients() {
            Thread.sleep(FILL_MS)
            CommonPools.workerGroup().forEach { it.execute { Thread.sleep(STALL_MS) } }
        }

        /** Heads of a success, by how they state the end of its body, and what precedes a part of that. */
        val HEADS: Map<String, String> = mapOf(
            "no length" to "HTTP/1.1 200 OK\r\n\r\n",
            "after 100" to "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
            "length" to "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n",
            "chunked" to "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nf4240\r\n",
        )

        /** Statuses that are none. */
        val BAD_STATUSES = "000 099 600 999 20 2 +200 +20 -200 0200 00200 2000 20x OK 0x1".split(' ') + ""

        /** Returns the cases of [HEADS] and [ENDS] with [part] for which [run] does not return [expected]. */
        fun <T> cut(part: String, expected: T, run: (RawServer) -> T): Map<String, T> =
            cut(expected, { text, end -> RawServer(text + part, end = end) }, run)

        /** As [cut], with servers that keep the event loops of all clients busy before they answer. */
        fun <T> cutInStall(part: String, expected: T, run: (RawServer) -> T): Map<String, T> =
            cut(expected, { text, end -> RawServer(text + part, LARGE_BUFFER_BYTES, ::stallClients, end) }, run)

        private fun <T> cut(
            expected: T,
            start: (String, (Socket) -> Unit) -> RawServer,
            run: (RawServer) -> T,
        ): Map<String, T> =
            HEADS.flatMap { (head, text) ->
                ENDS.map { (name, end) -> "$head, $name" to start(text, end).use(run) }
            }.toMap().filterValues { it != expected }

        /** Returns the bad statuses of answers with [body] for which [run] does not return [expected]. */
        fun <T> badStatus(body: String, expected: T, interim: String = "", run: (RawServer) -> T): Map<String, T> =
            BAD_STATUSES.associateWith { status ->
                val head = "${interim}HTTP/1.1 $status Reason\r\ncontent-length: ${body.length}\r\n\r\n"
                RawServer(head + body) { it.getInputStream().read(ByteArray(BUFFER_BYTES)) }.use(run)
            }.filterValues { it != expected }
    }
}
