package gentiandale.daemon.engine

import gentiandale.core.Address
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/**
 * Engine on a raw socket that supports HTTP/1.1 only. It writes what [answer] returns for the body of each call, and on
 * a kept connection first a copy of its last response.
 */
class Http1Engine(private val answer: (String) -> String) : AutoCloseable {
    private val listening = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    val address = Address("127.0.0.1", listening.localPort)

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
        var last = ""
        while (true) {
            val head = readHead(it.getInputStream()) ?: break
            if (head.startsWith(HTTP2_PREFACE)) {
                it.getOutputStream().write(UNSUPPORTED.toByteArray())
                break
            }
            val length = LENGTH.find(head)?.groupValues?.get(1)?.toInt() ?: 0
            val body = String(it.getInputStream().readNBytes(length))
            it.getOutputStream().write(last.toByteArray())
            last = answer(body)
            it.getOutputStream().write(last.toByteArray())
        }
    }

    private fun readHead(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.append(next.toChar())
        }
        return head.toString()
    }

    private companion object {
        const val BACKLOG = 50
        const val HTTP2_PREFACE = "PRI * HTTP/2.0"
        const val UNSUPPORTED = "HTTP/1.1 505 HTTP Version Not Supported\r\ncontent-length: 0\r\n\r\n"
        val LENGTH = Regex("(?i)content-length: (\\d+)")
    }
}
