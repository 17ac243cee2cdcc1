package gentiandale.relay

import gentiandale.core.Address
import gentiandale.core.SystemClock
import gentiandale.core.log.EventLog
import gentiandale.relay.caller.HttpServer
import gentiandale.relay.caller.HttpServerHandler
import gentiandale.relay.caller.HttpServerReply
import gentiandale.relay.caller.HttpServerRequest
import gentiandale.relay.routing.HttpServerLimits
import gentiandale.relay.upstream.Transport
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A port for HTTP requests and for another protocol, which has a listener of its own. */
class SharedPortTest {
    private val transport = Transport()
    private val service = object : HttpServerHandler {
        override fun serve(request: HttpServerRequest, reply: HttpServerReply): (String) -> Unit {
            request.body.release()
            reply.answer(status = 200, DefaultHttpHeaders(), Unpooled.copiedBuffer("served".toByteArray()))
            return { }
        }
    }
    private val limits = HttpServerLimits(headerTimeoutMs = HEADER_TIMEOUT_MS)
    private val server = HttpServer(transport, SystemClock::monotonicMs, { limits }, service, EventLog.NONE)
    private val other = ServerSocket(0, 1, InetAddress.getByName(HOST)).apply { soTimeout = READ_TIMEOUT_MS }
    private val port = server.listenShared(Address(HOST, 0), others = Address(HOST, other.localPort))

    @AfterEach
    fun close() {
        server.close()
        other.close()
        transport.close()
    }

    private fun connect() = Socket(HOST, port).apply { soTimeout = READ_TIMEOUT_MS }

    private fun ask(): String = connect().use { socket ->
        socket.getOutputStream().write("GET / HTTP/1.1\r\nconnection: close\r\n\r\n".toByteArray())
        String(socket.getInputStream().readAllBytes())
    }

    private fun Socket.isClosedByPeer() = try {
        getInputStream().read() < 0
    } catch (_: IOException) {
        true
    }

    @Test
    fun `requests are served`() {
        repeat(2) { assertTrue(ask().endsWith("served")) }
    }

    @Nested
    inner class OtherProtocol {
        @Test
        fun `bytes that begin no request arrive unchanged in both directions, also while requests are served`() {
            val sent = Random(1).nextBytes(LARGE).also { it[0] = 0 }
            thread(isDaemon = true) { echo() }
            connect().use { socket ->
                thread(isDaemon = true) {
                    socket.getOutputStream().write(sent)
                    socket.getOutputStream().flush()
                }
                Thread.sleep(SLOW_READER_MS)
                assertTrue(ask().endsWith("served"))
                val received = socket.getInputStream().readNBytes(LARGE)
                assertTrue(sent.contentEquals(received), "${received.size} of ${sent.size} bytes, or others")
            }
        }

        @Test
        fun `the end of either side ends the other`() {
            connect().use { socket ->
                socket.getOutputStream().write(FRAME)
                val accepted = other.accept().apply { soTimeout = READ_TIMEOUT_MS }
                assertContentEquals(FRAME, accepted.getInputStream().readNBytes(FRAME.size))
                accepted.close()
                assertTrue(socket.isClosedByPeer())
            }
            val accepted = connect().use { socket ->
                socket.getOutputStream().write(FRAME)
                other.accept().apply { soTimeout = READ_TIMEOUT_MS }
            }
            accepted.use { assertContentEquals(FRAME, it.getInputStream().readAllBytes()) }
        }

        @Test
        fun `a connection ends if nothing listens for the other protocol`() {
            other.close()
            connect().use { socket ->
                socket.getOutputStream().write(FRAME)
                assertTrue(socket.isClosedByPeer())
            }
        }

        private fun echo() = other.accept().use { it.getInputStream().transferTo(it.getOutputStream()) }
    }

    @Test
    fun `a connection without a byte is closed after the time for a head`() {
        connect().use { socket ->
            val startMs = SystemClock.monotonicMs()
            assertTrue(socket.isClosedByPeer())
            assertTrue(SystemClock.monotonicMs() - startMs >= HEADER_TIMEOUT_MS / 2, "closed too early")
        }
        assertEquals(0, transport.loop.submit<Int> { server.openCount }.get())
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val LARGE = 8 * 1_024 * 1_024
        const val SLOW_READER_MS = 300L
        const val HEADER_TIMEOUT_MS = 400L
        const val READ_TIMEOUT_MS = 5_000
        val FRAME = byteArrayOf(0, 0, 0, 1, 7)
    }
}
