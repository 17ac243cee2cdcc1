package gentiandale.daemon.claim

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.daemon.RawServer
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/** Servers that answer a plain call while its body is still being written to them, and statuses that are none. */
class UploadResponseTest {
    private val sender = PlainSender()

    @AfterEach
    fun close() = sender.close()

    /** Returns what is known after a call with a body of [bytes] bytes, and how often it has arrived. */
    private fun send(server: RawServer, bytes: Int): Pair<String, Int> {
        val body = HttpData.ofUtf8("x".repeat(bytes))
        val headers = RequestHeaders.of(HttpMethod.POST, "/order")
        val call = PlainCall("orders", HttpMethod.POST, "/order", headers, body, "caller", TIMEOUT_MS)
        val outcome = when (val sent = runBlocking { sender.send(call, server.address, TIMEOUT_MS) }) {
            is SendOutcome.Answered -> "${sent.response.status().code()} ${sent.response.contentUtf8()}"
            is SendOutcome.Unknown -> UNKNOWN
            is SendOutcome.NotSent -> "not sent"
        }
        return outcome to server.calls.get()
    }

    // Guards against a part of an answer that passes for the whole.
    @Test
    fun `a part of a response is unknown`() =
        assertEquals(emptyMap(), RawServer.cut("part", UNKNOWN to 1) { send(it, RawServer.UPLOAD_BYTES) })

    // Guards against a body that counts as written while the buffers of the system hold most of it.
    @Test
    fun `a part of a response to a shorter upload is unknown`() =
        assertEquals(emptyMap(), RawServer.cut("part", UNKNOWN to 1) { send(it, SHORTER_BYTES) })

    // Guards against a body that counts as written before the answer, as a late event loop writes before it reads.
    @Test
    fun `a part of a response is unknown though the event loop was busy when it came`() =
        assertEquals(emptyMap(), RawServer.cutInStall("part", UNKNOWN to 1) { send(it, RawServer.STALLED_BYTES) })

    @Test
    fun `a status that is none is unknown`() =
        assertEquals(emptyMap(), RawServer.badStatus("body", UNKNOWN to 1) { send(it, bytes = 1) })

    @Test
    fun `a status that is none is unknown behind an interim response`() {
        val interim = "HTTP/1.1 100 Continue\r\n\r\n"
        assertEquals(emptyMap(), RawServer.badStatus("body", UNKNOWN to 1, interim) { send(it, bytes = 1) })
    }

    private companion object {
        const val TIMEOUT_MS = 3_000L
        const val SHORTER_BYTES = 1_000_000
        const val UNKNOWN = "unknown"
    }
}
