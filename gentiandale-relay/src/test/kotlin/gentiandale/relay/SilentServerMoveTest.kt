package gentiandale.relay

import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.CrashId
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.RequestTrait
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Sound servers that fall silent, while other servers fail to take their work over. */
class SilentServerMoveTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    private fun silentServer(id: String, silentBefore: Int, silenceMs: Long = SILENCE_MS) =
        relay.server(id, ServerKind.DECODE) { request, socket ->
            if (silentBefore == 0) Thread.sleep(silenceMs)
            FakeServer.begin(socket, request)
            (1..3).forEach {
                if (it == silentBefore) Thread.sleep(silenceMs)
                FakeServer.chunk(socket, FakeServer.event(it))
            }
            socket.getOutputStream().write("0\r\n\r\n".toByteArray())
            true
        }

    private fun second(answer: (RawRequest, Socket) -> Boolean): FakeServer {
        val server = relay.server("d2", ServerKind.DECODE, answer)
        relay.reportPeerLoad("d2", memoryTokens = 5_000)
        return server
    }

    private fun assertWhole(answer: String) {
        val events = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals(listOf("1", "2", "3"), events, answer.take(200))
        assertTrue(answer.endsWith("0\r\n\r\n"))
    }

    private fun assertNothingLeaks() {
        Thread.sleep(200)
        val (loads, queued) = relay.pendingWork()
        assertEquals(emptyList(), loads.filter { it.running != 0 || it.memoryTokens != 0L || it.promptTokens != 0L })
        assertEquals(0, queued)
    }

    @Nested
    inner class OtherServerFails {
        @Test
        fun `an error of the server that it would move to does not end a request that has a silent server`() {
            silentServer("d1", silentBefore = 0)
            second { request, socket -> FakeServer.reply(socket, request, "broken", status = "500 Broken") }
            assertWhole(relay.get("/stream/1"))
            assertNothingLeaks()
        }

        @Test
        fun `an error of the server that it would move to does not cut a begun stream`() {
            silentServer("d1", silentBefore = 2)
            second { request, socket -> FakeServer.reply(socket, request, "broken", status = "500 Broken") }
            assertWhole(relay.get("/stream/1"))
            assertNothingLeaks()
        }

        @Test
        fun `a client error of the server that it would move to does not end a request that has a silent server`() {
            silentServer("d1", silentBefore = 0)
            second { request, socket -> FakeServer.reply(socket, request, "no", status = "409 Conflict") }
            assertWhole(relay.get("/stream/1"))
            assertNothingLeaks()
        }

        @Test
        fun `a stream is not cut when the server that it would move to breaks the connection`() {
            silentServer("d1", silentBefore = 2)
            second { _, _ -> false }
            assertWhole(relay.get("/stream/1"))
            assertNothingLeaks()
        }

        @Test
        fun `a stream is not cut when the server that it would move to ends after its head`() {
            silentServer("d1", silentBefore = 2)
            second { request, socket ->
                FakeServer.begin(socket, request)
                false
            }
            assertWhole(relay.get("/stream/1"))
            assertNothingLeaks()
        }
    }

    @Nested
    inner class SilentServerEnds {
        @Test
        fun `an error of a silent server reaches the caller if no other server has room`() {
            relay.server("d1", ServerKind.DECODE) { request, socket ->
                Thread.sleep(1_400)
                FakeServer.reply(socket, request, "bad prompt", status = "400 Bad Request")
            }
            second { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            val answer = relay.get("/stream/1")
            assertTrue(answer.startsWith("HTTP/1.1 400"), answer.take(80))
            assertNothingLeaks()
        }

        @Test
        fun `a silent server that breaks while its stream is queued leaves nothing behind`() {
            relay.server("d1", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request)
                FakeServer.chunk(socket, FakeServer.event(1))
                Thread.sleep(1_300)
                false
            }
            second { request, socket -> FakeServer.stream(socket, request, 2..3) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            thread(isDaemon = true) {
                Thread.sleep(1_800)
                relay.reportPeerLoad("d2", memoryTokens = 0)
            }
            assertWhole(relay.get("/stream/1"))
            assertNothingLeaks()
        }

        @Test
        fun `a stream that its silent server completes without an event is complete`() {
            relay.server("d1", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request)
                (1..3).forEach { FakeServer.chunk(socket, FakeServer.event(it)) }
                Thread.sleep(1_300)
                socket.getOutputStream().write("0\r\n\r\n".toByteArray())
                true
            }
            val other = second { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            assertWhole(relay.get("/stream/1"))
            assertEquals(0, other.requests.size)
            assertNothingLeaks()
        }

        @Test
        fun `a silent server that goes on while the other one has not answered is not mixed with it`() {
            silentServer("d1", silentBefore = 2, silenceMs = 1_100)
            second { request, socket ->
                Thread.sleep(160)
                FakeServer.stream(socket, request, (request.header("after")?.toInt() ?: 0) + 1..3)
            }
            assertWhole(relay.get("/stream/1"))
            assertNothingLeaks()
        }
    }

    @Nested
    inner class CallerLeaves {
        private fun leaveAfter(ms: Long) {
            relay.connect().use {
                it.getOutputStream().write("GET /stream/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n".toByteArray())
                Thread.sleep(ms)
            }
            assertNothingLeaks()
        }

        @Test
        fun `a caller that leaves while its silent stream is queued leaves nothing behind`() {
            silentServer("d1", silentBefore = 2, silenceMs = 3_000)
            second { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            leaveAfter(1_200)
        }

        @Test
        fun `a caller that leaves while its silent stream is being taken over leaves nothing behind`() {
            silentServer("d1", silentBefore = 2, silenceMs = 3_000)
            second { _, _ ->
                Thread.sleep(2_000)
                false
            }
            leaveAfter(1_100)
        }

        @Test
        fun `a caller that leaves while another prefill of its silent stream runs leaves nothing behind`() {
            silentServer("d1", silentBefore = 2, silenceMs = 3_000)
            second { request, socket -> FakeServer.reject(socket, request) }
            relay.server("p", ServerKind.PREFILL) { _, _ ->
                Thread.sleep(2_000)
                false
            }
            leaveAfter(1_300)
        }
    }

    @Nested
    inner class Stops {
        private fun assertStops(stopAfterMs: Long) {
            val answer = CompletableFuture.supplyAsync { relay.get("/stream/1") }
            Thread.sleep(stopAfterMs)
            val shutdown = CompletableFuture.supplyAsync { relay.shutDown(3_000) }
            assertWhole(answer.get())
            assertTrue(shutdown.get())
        }

        @Test
        fun `a silent stream that is queued is finished in a planned stop`() {
            silentServer("d1", silentBefore = 2)
            second { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            assertStops(1_200)
        }

        @Test
        fun `a silent request that is queued is finished in a planned stop`() {
            silentServer("d1", silentBefore = 0)
            second { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            assertStops(1_300)
        }

        @Test
        fun `a silent request whose window of admission ends meanwhile is finished in a planned stop`() {
            silentServer("d1", silentBefore = 0)
            second { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            val answer = CompletableFuture.supplyAsync { relay.get("/stream/1") }
            Thread.sleep(200)
            relay.beginShutdown(agoMs = 0, remainingMs = 2_150)
            assertWhole(answer.get())
        }
    }

    @Nested
    inner class Quarantine {
        private fun learn() = relay.mergeCrashes(
            listOf(1, 2).map {
                val id = CrashId(
                    ServerId("x$it"),
                    Incarnation(1),
                )
                val suspects = setOf(listOf(RequestTrait("deadly")))
                CrashRecord(id, ageMs = it * 100L, suspects = suspects)
            },
        )

        private fun assertWholeAfterVerdict(afterMs: Long) {
            val answer = CompletableFuture.supplyAsync {
                relay.get("/stream/1", "parts: common,deadly,own\r\n")
            }
            Thread.sleep(afterMs)
            learn()
            assertWhole(answer.get())
            assertNothingLeaks()
        }

        @Test
        fun `a verdict on a queued request leaves it at its silent server`() {
            silentServer("d1", silentBefore = 2)
            val other = second { request, socket -> FakeServer.reject(socket, request) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            assertWholeAfterVerdict(1_200)
            assertEquals(0, other.requests.size)
        }

        @Test
        fun `a verdict during a prefill leaves the request at its silent server`() {
            silentServer("d1", silentBefore = 2)
            val other = second { request, socket -> FakeServer.stream(socket, request, 2..3) }
            Thread.sleep(10)
            val answer = CompletableFuture.supplyAsync {
                relay.get("/stream/1", "parts: common,deadly,own\r\n")
            }
            Thread.sleep(500)
            val hasBegun = CountDownLatch(1)
            val isLearned = CountDownLatch(1)
            relay.prefillServer("p") { request, socket ->
                hasBegun.countDown()
                isLearned.await()
                FakeServer.reply(socket, request, "h42")
            }
            assertTrue(hasBegun.await(SILENCE_MS, TimeUnit.MILLISECONDS))
            learn()
            isLearned.countDown()
            assertWhole(answer.get())
            assertEquals(0, other.requests.size)
            assertNothingLeaks()
        }

        @Test
        fun `a verdict before the silence leaves the request at its silent server`() {
            silentServer("d1", silentBefore = 2)
            val other = second { request, socket -> FakeServer.stream(socket, request, 2..3) }
            assertWholeAfterVerdict(300)
            assertEquals(0, other.requests.size)
        }
    }

    private companion object {
        const val SILENCE_MS = 1_600L
    }
}
