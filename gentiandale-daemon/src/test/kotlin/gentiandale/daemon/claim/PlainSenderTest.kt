package gentiandale.daemon.claim

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.core.Address
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class PlainSenderTest {
    private val sender = PlainSender()
    private val listening = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))

    private val address = Address("127.0.0.1", listening.localPort)
    private var isLeaving = false

    @AfterEach
    fun close() {
        sender.close()
        listening.close()
    }

    /** Answers one call with [answer], then closes the connection by [end]. */
    private fun send(answer: String, end: (Socket) -> Unit): SendOutcome {
        thread(isDaemon = true) {
            listening.accept().use { socket ->
                socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                socket.getOutputStream().write(answer.toByteArray())
                Thread.sleep(DELIVERY_MS)
                end(socket)
            }
        }
        return runBlocking { sender.send(call(), address, TIMEOUT_MS) { isLeaving } }
    }

    private fun call(): PlainCall {
        val headers = RequestHeaders.of(HttpMethod.POST, "/order")
        return PlainCall("orders", HttpMethod.POST, "/order", headers, HttpData.ofUtf8(BODY), "caller", TIMEOUT_MS)
    }

    @Test
    fun `an answer without length whose connection is reset is unknown`() {
        assertIs<SendOutcome.Unknown>(send("HTTP/1.1 200 OK\r\n\r\npart") { it.setSoLinger(true, 0) })
    }

    @Test
    fun `an answer with fewer bytes than its length is unknown`() {
        assertIs<SendOutcome.Unknown>(send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart") { })
    }

    @Test
    fun `an answer without length that ends with its connection is complete`() {
        val outcome = assertIs<SendOutcome.Answered>(send("HTTP/1.1 200 OK\r\n\r\nwhole") { })
        assertEquals("whole", outcome.response.contentUtf8())
    }

    // Guards against the bytes of a second answer that are taken for the rest of the first.
    @Test
    fun `an answer without length that is followed by its copy is unknown`() {
        val answer = "HTTP/1.1 200 OK\r\nserver: a\r\n\r\nwhole"
        assertIs<SendOutcome.Unknown>(send(answer + answer) { })
    }

    @Test
    fun `an answer without length that is followed by a part of its copy is unknown`() {
        val head = "HTTP/1.1 200 OK\r\nserver: a\r\n\r\n"
        assertIs<SendOutcome.Unknown>(send(head + "whole" + head.take(CUT_BYTES)) { })
    }

    @Test
    fun `an answer without length that quotes another answer is complete`() {
        val quoted = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        assertIs<SendOutcome.Answered>(send("HTTP/1.1 200 OK\r\nserver: a\r\n\r\n$quoted") { })
    }

    @Test
    fun `an answer without length that ends with its server's process is unknown`() {
        assertIs<SendOutcome.Unknown>(send("HTTP/1.1 200 OK\r\n\r\npart") { listening.close() })
    }

    @Test
    fun `an answer without length of a server that leaves is complete at the end of its process`() {
        isLeaving = true
        assertIs<SendOutcome.Answered>(send("HTTP/1.1 200 OK\r\n\r\nwhole") { listening.close() })
    }

    @Test
    fun `an answer with its length is complete at the end of the server's process`() {
        assertIs<SendOutcome.Answered>(send("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole") { listening.close() })
    }

    // Guards against a late copy of a response that is taken for the response to the next call.
    @Test
    fun `a late copy of a response is not the response to the next call`() {
        val bodies = AtomicInteger()
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { answerTwice(socket, bodies) } }
            }
        }
        val texts = List(2) {
            assertIs<SendOutcome.Answered>(runBlocking { sender.send(call(), address, TIMEOUT_MS) })
                .response.contentUtf8()
        }
        assertEquals(listOf("1", "2"), texts)
    }

    /** Answers each call on [socket] with a number of its own, after a late copy of the answer before. */
    private fun answerTwice(socket: Socket, bodies: AtomicInteger) = socket.use {
        var last = ""
        while (readsCall(it)) {
            it.getOutputStream().write(last.toByteArray())
            last = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${bodies.incrementAndGet()}"
            it.getOutputStream().write(last.toByteArray())
        }
    }

    private fun readsCall(socket: Socket): Boolean {
        val text = StringBuilder()
        while (!text.endsWith("\r\n\r\n$BODY")) {
            val next = socket.getInputStream().read()
            if (next < 0) return false
            text.append(next.toChar())
        }
        return true
    }

    private companion object {
        const val BODY = "x"
        const val REQUEST_BYTES = 4_096
        const val TIMEOUT_MS = 3_000L
        const val CUT_BYTES = 20

        /** Time for the sender to read what precedes a reset. */
        const val DELIVERY_MS = 200L
    }
}
