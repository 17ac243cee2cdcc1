package gentiandale.relay

import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** An HTTP request as read from the socket: its head as text and its body. */
class RawRequest(val head: String, val body: String) {
    val target: String get() = head.lineSequence().first().split(' ')[1]

    fun header(name: String): String? = head.lineSequence().drop(1)
        .firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
}

/**
 * HTTP server on a raw socket. [answer] writes arbitrary bytes and returns false to close the connection.
 *
 * @param readsBody whether the body of a request is read before [answer]; without that, a long one can't be written.
 * @param bufferBytes size of the receive buffer if [readsBody] is false.
 */
class FakeServer(
    private val readsBody: Boolean = true,
    bufferBytes: Int = SMALL_BUFFER_BYTES,
    private val answer: (RawRequest, Socket) -> Boolean,
) : AutoCloseable {
    private val listening = ServerSocket().apply {
        if (!readsBody) receiveBufferSize = bufferBytes
        bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG)
    }
    val requests = CopyOnWriteArrayList<RawRequest>()
    val port: Int get() = listening.localPort

    init {
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    override fun close() = listening.close()

    private fun serve(socket: Socket) = socket.use {
        val input = BufferedInputStream(socket.getInputStream())
        while (true) {
            val request = read(input) ?: break
            requests += request
            if (!answer(request, socket)) break
        }
    }

    private fun read(input: InputStream) =
        if (readsBody) readRequest(input) else readHead(input)?.let { RawRequest(it, "") }

    companion object {
        private const val BACKLOG = 50

        /** Bounds the part of an unread body that the system accepts. */
        const val SMALL_BUFFER_BYTES = 16_384

        /** Writes a complete answer with the id of [request]. */
        fun reply(
            socket: Socket,
            request: RawRequest,
            body: String,
            status: String = "200 OK",
            extra: String = "",
        ): Boolean {
            val head = "HTTP/1.1 $status\r\nid: ${request.header("id")}\r\nsigned: 1\r\n$extra"
            socket.getOutputStream().write("${head}content-length: ${body.length}\r\n\r\n$body".toByteArray())
            return true
        }

        /** Writes a complete event stream with the events [ids]. */
        fun stream(socket: Socket, request: RawRequest, ids: IntRange): Boolean {
            begin(socket, request)
            ids.forEach { chunk(socket, event(it)) }
            socket.getOutputStream().write("0\r\n\r\n".toByteArray())
            return true
        }

        /** Writes two complete events and a part of the third, then closes the connection. */
        fun breakOff(socket: Socket, request: RawRequest): Boolean {
            begin(socket, request)
            chunk(socket, event(1) + event(2) + "id: 3\nda")
            return false
        }

        /** Answers that the request has not been executed. */
        fun reject(socket: Socket, request: RawRequest): Boolean =
            reply(socket, request, "", status = "503 Full", extra = "not-executed: 1\r\n")

        /** Writes the head of an event stream. */
        fun begin(socket: Socket, request: RawRequest, extra: String = "") {
            val id = request.header("id")
            val head = "HTTP/1.1 200 OK\r\nid: $id\r\nsigned: 1\r\n${extra}transfer-encoding: chunked\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
        }

        fun chunk(socket: Socket, text: String) =
            socket.getOutputStream().write("${text.length.toString(16)}\r\n$text\r\n".toByteArray())

        fun event(id: Int): String = "id: $id\ndata: x$id\n\n"

        fun readRequest(input: InputStream): RawRequest? {
            val head = readHead(input) ?: return null
            val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
            return RawRequest(head, String(input.readNBytes(length)))
        }

        fun readHead(input: InputStream): String? {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val next = input.read()
                if (next < 0) return null
                head.append(next.toChar())
            }
            return head.toString()
        }
    }
}
