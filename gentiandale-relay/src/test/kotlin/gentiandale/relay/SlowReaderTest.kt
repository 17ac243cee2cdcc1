package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import java.io.BufferedInputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Sound servers that read a long body only after more than a second. */
class SlowReaderTest {
    private val relay = RelayFixture()
    private val sockets = ArrayList<ServerSocket>()

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        relay.close()
    }

    /** A server that reads a body only after [silenceMs] milliseconds, and then answers by [answer]. */
    private fun slowReader(
        id: String,
        kind: ServerKind,
        silenceMs: Long,
        body: Int,
        answer: (RawRequest, Socket) -> Unit,
    ) {
        val listening = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
        sockets += listening
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: break
                thread(isDaemon = true) {
                    runCatching {
                        val input = BufferedInputStream(socket.getInputStream(), 1)
                        val head = FakeServer.readHead(input)
                        if (head != null) {
                            Thread.sleep(silenceMs)
                            if (body > 0) input.readNBytes(body)
                            answer(RawRequest(head, ""), socket)
                        }
                    }
                }
            }
        }
        relay.merge(rowOf(id, kind, listening.localPort))
    }

    private fun post(target: String, length: Int): String {
        val head = "POST $target HTTP/1.1\r\nhost: h\r\nid: r1\r\nconnection: close\r\ncontent-length: $length\r\n\r\n"
        return relay.exchange(head + "x".repeat(length))
    }

    @Test
    fun `a long body that its server reads after a silence is not reset`() {
        val length = 900_000
        slowReader("s1", ServerKind.PLAIN, silenceMs = 1_600, body = length) { request, socket ->
            FakeServer.reply(socket, request, "done")
        }
        val answer = post("/once/1", length)
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer.take(80))
    }

    @Test
    fun `a stream is not cut when its engine reads the rest of a long prompt after a silence`() {
        val length = 900_000
        slowReader("d1", ServerKind.DECODE, silenceMs = 0, body = 0) { request, socket ->
            FakeServer.begin(socket, request)
            FakeServer.chunk(socket, FakeServer.event(1))
            Thread.sleep(1_600)
            socket.getInputStream().readNBytes(length)
            (2..3).forEach { FakeServer.chunk(socket, FakeServer.event(it)) }
            socket.getOutputStream().write("0\r\n\r\n".toByteArray())
        }
        val answer = post("/stream/1", length)
        assertEquals(3, Regex("data: x\\d").findAll(answer).count(), answer.take(200))
    }

    @Test
    fun `a long prompt that its engine reads after a silence is not reset`() {
        val length = 900_000
        slowReader("d1", ServerKind.DECODE, silenceMs = 1_600, body = length) { request, socket ->
            FakeServer.stream(socket, request, 1..3)
        }
        val answer = post("/stream/1", length)
        assertEquals(3, Regex("data: x\\d").findAll(answer).count(), answer.take(80))
    }
}
