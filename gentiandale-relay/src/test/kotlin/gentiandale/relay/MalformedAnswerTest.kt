package gentiandale.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Servers whose answers have contradictory or unknown framing. */
class MalformedAnswerTest {
    private var relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    /** Returns the status line that a caller gets from a relay of its own. */
    private fun statusOf(start: String, headers: String, body: String): String {
        relay.close()
        relay = RelayFixture()
        relay.server("a") { request, socket ->
            val head = "$start\r\nid: ${request.header("id")}\r\nsigned: 1\r\n$headers\r\n"
            socket.getOutputStream().write((head + body).toByteArray())
            false
        }
        return relay.get("/once/1").substringBefore("\r\n")
    }

    private fun checkRefused(vararg headers: Pair<String, String>) = assertEquals(
        headers.associate { (head, _) -> head to "HTTP/1.1 502 Bad Gateway" },
        headers.associate { (head, body) -> head to statusOf("HTTP/1.1 200 OK", head, body) },
    )

    @Nested
    inner class Framing {
        @Test
        fun `two differing lengths are refused`() = checkRefused(
            "content-length: 3\r\ncontent-length: 4\r\n" to "abcd",
            "content-length: 3, 4\r\n" to "abcd",
            "content-length: -1\r\n" to "abcd",
            "content-length: 3x\r\n" to "abcd",
        )

        @Test
        fun `a length beside chunks is refused`() = checkRefused(
            "content-length: 3\r\ntransfer-encoding: chunked\r\n" to "3\r\nabc\r\n0\r\n\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 13\r\n" to "3\r\nabc\r\n0\r\n\r\n",
        )

        @Test
        fun `transfer codings other than chunked are refused`() = checkRefused(
            "transfer-encoding: gzip, chunked\r\n" to "3\r\nabc\r\n0\r\n\r\n",
            "transfer-encoding: gzip\r\n" to "abc",
            "transfer-encoding: identity\r\ncontent-length: 3\r\n" to "abc",
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n" to "3\r\nabc\r\n0\r\n\r\n",
        )
    }

    @Nested
    inner class Heads {
        @Test
        fun `other protocols are refused`() {
            val starts = listOf("TP/1.1 200 OK", "HTTP/2.0 200 OK", "HHTTP/1.1 200 OK", "HTTP/1.1 99 OK")
            val statuses = starts.map { statusOf(it, "content-length: 3\r\n", "abc") }
            assertEquals(List(starts.size) { "HTTP/1.1 502 Bad Gateway" }, statuses)
        }

        @Test
        fun `a head that holds the start of another one is refused`() = checkRefused(
            "note: firstHTTP/1.1 200 OK\r\ncontent-length: 3\r\n" to "abc",
        )

        @Test
        fun `a switch to another protocol is refused`() = assertEquals(
            "HTTP/1.1 502 Bad Gateway",
            statusOf("HTTP/1.1 101 Switching Protocols", "connection: upgrade\r\nupgrade: echo\r\n", "abc"),
        )
    }
}
