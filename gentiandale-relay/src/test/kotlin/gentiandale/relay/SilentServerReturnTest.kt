package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Streams whose silent server is kept or left, and the server that was chosen does not complete them. */
class SilentServerReturnTest {
    private var relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    /** Streams one event, and closes the connection after a silence of [SILENCE_MS] milliseconds. */
    private fun breakingServer() = relay.server("d1", ServerKind.DECODE) { request, socket ->
        FakeServer.begin(socket, request)
        FakeServer.chunk(socket, FakeServer.event(1))
        Thread.sleep(SILENCE_MS)
        false
    }

    /** Sends nothing for half a second when it is asked first, and streams the rest when it is asked again. */
    private fun slowServer(): FakeServer {
        val calls = AtomicInteger()
        val server = relay.server("d2", ServerKind.DECODE) { request, socket ->
            if (calls.incrementAndGet() == 1) Thread.sleep(500)
            resume(request, socket)
        }
        relay.reportPeerLoad("d2", memoryTokens = 5_000)
        return server
    }

    private fun resume(request: RawRequest, socket: Socket) =
        FakeServer.stream(socket, request, (request.header("after")?.toInt() ?: 0) + 1..3)

    private fun assertWhole(answer: String) {
        val events = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals(listOf("1", "2", "3"), events, answer.take(200))
        assertTrue(answer.endsWith("0\r\n\r\n"))
    }

    @Nested
    inner class FirstServerEnds {
        @Test
        fun `a stream is not cut when the server that it stayed at breaks the connection`() {
            breakingServer()
            slowServer()
            assertWhole(relay.get("/stream/1"))
        }
    }

    @Nested
    inner class SecondServerRejects {
        /** Streams one event and the others after a silence of [SILENCE_MS] milliseconds; resumes at once later. */
        private fun silentServer() {
            val calls = AtomicInteger()
            relay.server("d1", ServerKind.DECODE) { request, socket ->
                if (calls.incrementAndGet() > 1) return@server resume(request, socket)
                FakeServer.begin(socket, request)
                FakeServer.chunk(socket, FakeServer.event(1))
                Thread.sleep(SILENCE_MS)
                (2..3).forEach { FakeServer.chunk(socket, FakeServer.event(it)) }
                socket.getOutputStream().write("0\r\n\r\n".toByteArray())
                true
            }
        }

        /** Sends events of another stream all the time, and rejects the stream after 400 ms. */
        private fun rejectingServer() {
            relay.server("d2", ServerKind.DECODE) { request, socket ->
                if ("other" in request.target) {
                    FakeServer.begin(socket, request)
                    (1..300).forEach {
                        FakeServer.chunk(socket, FakeServer.event(it))
                        Thread.sleep(10)
                    }
                    return@server false
                }
                Thread.sleep(400)
                FakeServer.reject(socket, request)
            }
            relay.reportPeerLoad("d2", memoryTokens = 5_000)
        }

        private fun assertNotCut() {
            silentServer()
            rejectingServer()
            val answer = CompletableFuture.supplyAsync { relay.get("/stream/1") }
            Thread.sleep(200)
            relay.reportPeerLoad("d1", memoryTokens = 9_000)
            val other = CompletableFuture.supplyAsync { relay.get("/stream-once/other", id = "r2") }
            Thread.sleep(200)
            relay.reportPeerLoad("d1", memoryTokens = 0)
            assertWhole(answer.get())
            other.get()
        }

        @Test
        fun `a stream is not cut when the server that it was moved to answers other requests and then rejects it`() =
            assertNotCut()

        @Test
        fun `a stream is not cut when the server that it was moved to rejects it and no retry is left`() {
            relay.close()
            relay = RelayFixture(retryMinimum = 0)
            assertNotCut()
        }
    }

    private companion object {
        /** The stream is sent to the other server after 1.0 s and returns at 1.25 s. */
        const val SILENCE_MS = 1_600L
    }
}
