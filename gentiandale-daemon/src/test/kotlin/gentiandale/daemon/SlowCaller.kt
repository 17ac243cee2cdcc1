package gentiandale.daemon

import java.net.InetSocketAddress
import java.net.Socket

/** Caller on a raw socket with a small receive buffer, which reads nothing until it is told to. */
class SlowCaller(port: Int) : AutoCloseable {
    private val socket = Socket().apply {
        receiveBufferSize = RECEIVE_BUFFER_BYTES
        connect(InetSocketAddress("127.0.0.1", port))
    }

    /** Sends [body] to [path]. */
    fun post(path: String, body: String) {
        val head = "POST $path HTTP/1.1\r\nhost: vm\r\nconnection: close\r\ncontent-length: ${body.length}\r\n\r\n"
        socket.getOutputStream().write((head + body).toByteArray())
    }

    /** Reads all bytes up to the end of the connection. */
    fun readResponse(): String = String(socket.getInputStream().readAllBytes())

    override fun close() = socket.close()

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 8_192
    }
}
