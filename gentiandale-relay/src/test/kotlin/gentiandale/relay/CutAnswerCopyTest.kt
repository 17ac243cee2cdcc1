package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against passing on an answer that was cut and whose stated length the second answer fills up. */
class CutAnswerCopyTest {
    private var relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    @Test
    fun `a cut answer is not whole because its second answer follows`() {
        relay.server("a") { request, socket ->
            val head = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\ncontent-length: 30\r\n\r\n"
            socket.getOutputStream().write((head + "0123456789" + head + "0123456789").toByteArray())
            false
        }
        val answer = relay.get("/once/1")
        assertFalse(answer.startsWith("HTTP/1.1 200"), answer)
    }

    private fun cutWithLength(request: RawRequest, socket: Socket, body: String, length: Int): Boolean {
        val head = headOf(request) + "content-length: ${body.length}\r\n\r\n"
        socket.getOutputStream().write((head + body.take(length) + head + body).toByteArray())
        return false
    }

    private fun cutChunk(request: RawRequest, socket: Socket, body: String, length: Int): Boolean {
        val head = headOf(request) + "transfer-encoding: chunked\r\n\r\n"
        val chunk = "${body.length.toString(16)}\r\n$body\r\n"
        socket.getOutputStream().write((head + chunk.take(length) + head + chunk + "0\r\n\r\n").toByteArray())
        return false
    }

    private fun headOf(request: RawRequest) = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\n"

    private fun events(answer: String) = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()

    /** Runs [test] on a relay of its own for each way to cut a body. */
    private fun eachFraming(test: ((RawRequest, Socket, String, Int) -> Boolean) -> Unit) =
        listOf(::cutWithLength, ::cutChunk).forEach {
            relay.close()
            relay = RelayFixture()
            test(it)
        }

    @Nested
    inner class PlainCalls {
        private val body = "0123456789".repeat(20)

        @Test
        fun `a call that may run twice is answered by another server`() = eachFraming { cutBody ->
            var count = 0
            listOf("a", "b").forEach { id ->
                relay.server(id) { request, socket ->
                    if (count++ > 0) FakeServer.reply(socket, request, body) else cutBody(request, socket, body, 100)
                }
            }
            val answer = relay.get("/safe/1")
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\n$body"), answer)
            assertEquals(2, count)
        }

        @Test
        fun `a large answer that is forwarded as it arrives does not look complete`() = eachFraming { cutBody ->
            val large = body.repeat(3_000)
            relay.server("a") { request, socket -> cutBody(request, socket, large, 400_000) }
            val answer = runCatching { relay.get("/once/1") }.getOrDefault("")
            assertFalse(answer.endsWith("0\r\n\r\n"))
            assertEquals(0, Regex("HTTP/1.1 200").findAll(answer.drop(1)).count())
        }

        @Test
        fun `a body that may go on as a head is answered while its connection stays open`() {
            val text = "we speak HTTP/1.1"
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, text) }
            repeat(3) { assertTrue(relay.get("/once/$it", id = "r$it").endsWith("\r\n\r\n$text")) }
        }
    }

    @Nested
    inner class Generations {
        private val body = (1..4).joinToString("") { FakeServer.event(it) }

        @Test
        fun `a stream is resumed behind the last event before the cut`() = eachFraming { cutBody ->
            listOf("d1", "d2").forEach { id ->
                relay.server(id, ServerKind.DECODE) { request, socket ->
                    val after = request.header("after")?.toInt() ?: return@server cutBody(request, socket, body, 20)
                    FakeServer.stream(socket, request, after + 1..4)
                }
            }
            val answer = relay.get("/stream/1")
            assertEquals(listOf("1", "2", "3", "4"), events(answer))
            assertEquals(1, Regex("HTTP/1.1 200").findAll(answer).count(), answer)
        }

        @Test
        fun `a stream that can't be resumed does not look complete`() = eachFraming { cutBody ->
            relay.server("d", ServerKind.DECODE) { request, socket -> cutBody(request, socket, body, 20) }
            val answer = runCatching { relay.get("/stream-once/1") }.getOrDefault("")
            assertFalse(answer.endsWith("0\r\n\r\n"), answer)
            assertEquals(0, Regex("HTTP/1.1 200").findAll(answer.drop(1)).count(), answer)
        }

        @Test
        fun `a resumed stream that is cut does not look complete`() = eachFraming { cutBody ->
            listOf("d1", "d2").forEach { id ->
                relay.server(id, ServerKind.DECODE) { request, socket ->
                    if (request.header("after") == null) return@server FakeServer.breakOff(socket, request)
                    cutBody(request, socket, FakeServer.event(3) + FakeServer.event(4), 20)
                }
            }
            val answer = runCatching { relay.get("/stream/1") }.getOrDefault("")
            assertFalse(answer.endsWith("0\r\n\r\n"), answer)
            assertEquals(0, Regex("HTTP/1.1 200").findAll(answer.drop(1)).count(), answer)
        }

        @Test
        fun `a handle is not filled up by the second answer to the prefill`() {
            relay.prefillServer("p") { request, socket -> cutWithLength(request, socket, "h" + "4".repeat(30), 2) }
            val decode = relay.server("d", ServerKind.DECODE) { request, socket ->
                FakeServer.stream(socket, request, 1..2)
            }
            assertEquals(listOf("1", "2"), events(relay.get("/stream/1")))
            assertEquals(listOf(null), decode.requests.map { it.header("cache") })
        }
    }
}
