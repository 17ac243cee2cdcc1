package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What a server says about itself in its answers: that it leaves, or that it wants no requests for a while. */
class ServerNoticeTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    @Nested
    inner class Leaving {
        private fun leavingServer(status: String) = relay.server("a") { request, socket ->
            FakeServer.reply(socket, request, "a", status = status, extra = LEAVING)
        }

        @Test
        fun `is heeded from the first answer on, whatever its status`() {
            listOf("200 OK", "404 Not Found", "500 Error", "503 Full").forEach { status ->
                RelayFixture().use { relay ->
                    val leaving = relay.server("a") { request, socket ->
                        FakeServer.reply(socket, request, "a", status = status, extra = LEAVING)
                    }
                    relay.get("/once/1")
                    repeat(5) { assertTrue(relay.get("/once/2").startsWith("HTTP/1.1 503"), status) }
                    assertEquals(1, leaving.requests.size, status)
                    assertEquals(listOf("a"), relay.departed.map { it.id.value }, status)
                }
            }
        }

        @Test
        fun `moves later requests to another server and is not undone by a heartbeat`() {
            val leaving = leavingServer("200 OK")
            relay.get("/once/1")
            relay.server("b") { request, socket -> FakeServer.reply(socket, request, "b") }
            relay.merge(rowOf("a", port = leaving.port, sequence = 9))
            repeat(6) { assertTrue(relay.get("/once/2").endsWith("b")) }
            assertEquals(1, leaving.requests.size)
        }

        @Test
        fun `does not end a stream that runs`() {
            relay.server("d") { request, socket ->
                FakeServer.begin(socket, request, LEAVING)
                (1..4).forEach {
                    FakeServer.chunk(socket, FakeServer.event(it))
                    Thread.sleep(30)
                }
                socket.getOutputStream().write("0\r\n\r\n".toByteArray())
                true
            }
            assertTrue(relay.get("/stream/1").endsWith("id: 4\ndata: x4\n\n\r\n0\r\n\r\n"))
            assertEquals(listOf("d"), relay.departed.map { it.id.value })
        }

        @Test
        fun `of a prefill server keeps later prompts away from it`() {
            val prefill = relay.server("p", ServerKind.PREFILL) { request, socket ->
                FakeServer.reply(socket, request, "h1", extra = LEAVING)
            }
            val decode = relay.server("d") { request, socket -> FakeServer.stream(socket, request, 1..2) }
            repeat(3) { relay.get("/stream/$it") }
            assertEquals(1, prefill.requests.count { it.target.startsWith("/stream/") })
            assertEquals(3, decode.requests.size)
        }
    }

    @Nested
    inner class Rest {
        @Test
        fun `is kept, and the server is used again after it`() {
            var answers = 0
            val resting = relay.server("a") { request, socket ->
                if (answers++ == 0) refuse(socket, request, "0.6") else FakeServer.reply(socket, request, "again")
            }
            relay.get("/once/1")
            val until = System.nanoTime() + 450_000_000
            while (System.nanoTime() < until) relay.get("/once/2")
            assertEquals(1, resting.requests.size)
            Thread.sleep(250)
            assertTrue(relay.get("/once/3").endsWith("again"))
        }

        @Test
        fun `of all servers refuses requests at once with the time that is left`() {
            listOf("a", "b").forEach { id -> relay.server(id) { request, socket -> refuse(socket, request, "4") } }
            repeat(2) {
                val startNanos = System.nanoTime()
                val answer = relay.get("/once/$it")
                assertTrue(System.nanoTime() - startNanos < 500_000_000)
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer)
                val retryS = Regex("(?i)retry-after: ([\\d.]+)").find(answer)?.groupValues?.get(1)?.toDouble() ?: 0.0
                assertTrue(retryS in 3.0..6.1, answer)
            }
        }

        @Test
        fun `of one server leaves its requests to the others`() {
            val resting = relay.server("a") { request, socket -> refuse(socket, request, "5") }
            relay.server("b") { request, socket -> FakeServer.reply(socket, request, "b") }
            repeat(12) { assertTrue(relay.get("/safe/$it").endsWith("b")) }
            assertTrue(resting.requests.size <= 1)
        }

        @Test
        fun `does not change the retry time of refusals while no server rests`() {
            relay.server("d", ServerKind.DECODE) { request, socket -> FakeServer.reject(socket, request) }
            val answer = relay.get("/stream/1")
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer)
            val retryS = Regex("(?i)retry-after: ([\\d.]+)").find(answer)?.groupValues?.get(1)?.toDouble() ?: 99.0
            assertTrue(retryS <= 2.0, answer)
        }

        @Test
        fun `without a valid time does not exclude the server`() {
            var answers = 0
            relay.server("a") { request, socket ->
                if (answers++ == 0) refuse(socket, request, "-3") else FakeServer.reply(socket, request, "again")
            }
            relay.get("/once/1")
            assertTrue(relay.get("/once/2").endsWith("again"))
        }

        private fun refuse(socket: java.net.Socket, request: RawRequest, seconds: String) =
            FakeServer.reply(socket, request, "", "503 Full", "not-executed: 1\r\nretry-after: $seconds\r\n")
    }

    private companion object {
        const val LEAVING = "leaving: 1\r\n"
    }
}
