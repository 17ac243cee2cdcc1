package gentiandale.relay

import gentiandale.core.backend.BackendState
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers whose second answer to one request arrives while another request is under way on the connection. */
class SecondAnswerTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    private fun answer(id: String, body: String, status: String = "200 OK") =
        "HTTP/1.1 $status\r\nid: $id\r\nsigned: 1\r\ncontent-length: ${body.length}\r\n\r\n$body"

    private fun Socket.write(text: String) = getOutputStream().write(text.toByteArray())

    private fun head(target: String, id: String) =
        relay.exchange("HEAD $target HTTP/1.1\r\nhost: h\r\nid: $id\r\nconnection: close\r\n\r\n")

    @Nested
    inner class HeadRequests {
        private fun headOf(id: String) = answer(id, "first").removeSuffix("first")

        @Test
        fun `a copy of an answer to HEAD takes no bytes of the next answer`() {
            relay.server("a") { request, socket ->
                val isHead = request.head.startsWith("HEAD")
                socket.write(if (isHead) headOf("r1") else headOf("r1") + answer("r2", "second"))
                true
            }
            assertTrue(head("/once/1", "r1").startsWith("HTTP/1.1 200"))
            val answer = relay.get("/once/2", id = "r2")
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\nsecond"), answer)
        }

        @Test
        fun `a copy with a body does not break the next request, which is HEAD`() {
            relay.server("a") { request, socket ->
                if (request.head.startsWith("HEAD")) {
                    socket.write(answer("r1", "first"))
                    socket.write(headOf("r2"))
                } else {
                    socket.write(answer("r1", "first"))
                }
                true
            }
            relay.get("/once/1", id = "r1")
            val answer = head("/once/2", "r2")
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer)
        }
    }

    /** Copies that are broken off while the next request waits for its answer on the same connection. */
    @Nested
    inner class BrokenOffCopies {
        private val copy = "HTTP/1.1 200 OK\r\nnote: first\r\nid: r1\r\nsigned: 1\r\ncontent-length: 400\r\n\r\n"

        /** Answers the first request, and the next one after the first [length] bytes of [copy]. */
        private fun start(id: String, length: Int) = relay.server(id) { request, socket ->
            if (request.header("id") != "r1") socket.write(copy.take(length))
            FakeServer.reply(socket, request, "second")
        }

        @Test
        fun `the next request gets its answer or a failure at once wherever the copy is cut`() {
            val odd = (1..copy.length).mapNotNull { length ->
                val server = start("s$length", length)
                relay.get("/once/1", id = "r1")
                val answer = relay.get("/once/2", id = "r2")
                relay.merge(rowOf("s$length", port = server.port, state = BackendState.GONE, sequence = 2))
                val isOwn = answer.endsWith("\r\n\r\nsecond") && "note" !in answer
                if (isOwn || answer.startsWith("HTTP/1.1 502")) null else length to answer.substringBefore("\r\n")
            }
            assertEquals(emptyList(), odd)
        }

        @Test
        fun `a copy that has only its head takes no bytes of the next answer`() {
            start("a", copy.length)
            relay.get("/once/1", id = "r1")
            val answer = relay.get("/once/2", id = "r2")
            assertTrue(answer.endsWith("\r\n\r\nsecond"), answer)
        }
    }

    /** Interim answers and answers without a body that come again. */
    @Nested
    inner class BodylessCopies {
        private fun secondAfter(copy: String): String {
            relay.server("a") { request, socket ->
                if (request.header("id") != "r1") socket.write(copy)
                FakeServer.reply(socket, request, "second")
            }
            relay.get("/once/1", id = "r1")
            return relay.get("/once/2", id = "r2")
        }

        @Test
        fun `interim answers do not count as the answer`() {
            val copies = listOf("100 Continue", "102 Processing", "103 Early Hints")
            val answer = secondAfter(copies.joinToString("") { "HTTP/1.1 $it\r\nid: r1\r\n\r\n" })
            assertTrue(answer.endsWith("\r\n\r\nsecond"), answer)
        }

        @Test
        fun `answers without a body are read up to the end of their head`() {
            val copies = listOf("204 No Content", "304 Not Modified")
            val answer = secondAfter(copies.joinToString("") { "HTTP/1.1 $it\r\nid: r1\r\ncontent-length: 9\r\n\r\n" })
            assertTrue(answer.endsWith("\r\n\r\nsecond"), answer)
        }

        @Test
        fun `a copy of a failure is discarded`() {
            val answer = secondAfter(answer("r1", "old", "500 Error") + answer("r1", "", "503 Full"))
            assertTrue(answer.endsWith("\r\n\r\nsecond"), answer)
        }
    }
}
