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
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class PlainSenderTest {
    private val sender = PlainSender()
    private val listening = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))

    private val port = listening.localPort
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
        val headers = RequestHeaders.of(HttpMethod.POST, "/order")
        val call = PlainCall("orders", HttpMethod.POST, "/order", headers, HttpData.ofUtf8("x"), "caller", TIMEOUT_MS)
        return runBlocking { sender.send(call, Address("127.0.0.1", port), TIMEOUT_MS) { isLeaving } }
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

    private companion object {
        const val REQUEST_BYTES = 4_096
        const val TIMEOUT_MS = 3_000L

        /** Time for the sender to read what precedes a reset. */
        const val DELIVERY_MS = 200L
    }
}
