package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StreamRelayTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    @Nested
    inner class CacheTransfer {
        @Test
        fun `a prefill server reads the prompt and a decode server streams from its KV cache`() {
            val prefill = relay.prefillServer("p") { request, socket ->
                FakeServer.reply(socket, request, "h42")
            }
            val decode = relay.server("d", ServerKind.DECODE) { request, socket ->
                FakeServer.stream(
                    socket,
                    request,
                    1..3,
                )
            }
            val answer = relay.get("/stream/1")
            assertEquals(listOf("1", "2", "3"), events(answer))
            assertEquals("prefill", prefill.requests.single().header("stage"))
            assertEquals("127.0.0.1:${prefill.port}/h42", decode.requests.single().header("cache"))
            assertNull(decode.requests.single().header("stage"))
        }

        @Test
        fun `an expired KV cache is rebuilt once, after that the decode server reads the prompt itself`() {
            val prefill = relay.prefillServer("p") { request, socket ->
                FakeServer.reply(socket, request, "h42")
            }
            val decode = relay.server("d", ServerKind.DECODE) { request, socket ->
                if (request.header("cache") !=
                    null
                ) {
                    FakeServer.reject(socket, request)
                } else {
                    FakeServer.stream(socket, request, 1..2)
                }
            }
            assertEquals(listOf("1", "2"), events(relay.get("/stream/1")))
            assertEquals(listOf(true, true, false), decode.requests.map { it.header("cache") != null })
            assertEquals(2, prefill.requests.count { it.header("stage") == "prefill" })
        }

        @Test
        fun `a KV cache rejected by a full decode server is used by another one`() {
            val prefill = relay.prefillServer("p") { request, socket ->
                FakeServer.reply(socket, request, "h42")
            }
            relay.server("d1", ServerKind.DECODE) { request, socket -> FakeServer.reject(socket, request) }
            val other = relay.server("d2", ServerKind.DECODE) { request, socket ->
                FakeServer.stream(
                    socket,
                    request,
                    1..2,
                )
            }
            relay.reportPeerLoad("d2", memoryTokens = 4_000)
            assertEquals(listOf("1", "2"), events(relay.get("/stream/1")))
            assertEquals("127.0.0.1:${prefill.port}/h42", other.requests.single().header("cache"))
            assertEquals(1, prefill.requests.size)
        }

        @Test
        fun `a reservation that conflicts with earlier load of another VM is moved`() {
            relay.prefillServer("p") { request, socket -> FakeServer.reply(socket, request, "h42") }
            val first = relay.server("d1", ServerKind.DECODE) { request, socket ->
                FakeServer.stream(
                    socket,
                    request,
                    1..2,
                )
            }
            val second = relay.server("d2", ServerKind.DECODE) { request, socket ->
                FakeServer.stream(
                    socket,
                    request,
                    1..2,
                )
            }
            relay.reportPeerLoad("d2", memoryTokens = 4_000)
            relay.onConfirm = { relay.reportPeerLoad("d1", memoryTokens = 10_000) }
            assertEquals(listOf("1", "2"), events(relay.get("/stream/1")))
            assertEquals(listOf(0, 1), listOf(first, second).map { it.requests.size })
        }

        @Test
        fun `a prefill server with a backlog of other VMs is not timed out`() {
            val prefill = relay.server("p", ServerKind.PREFILL) { request, socket ->
                relay.reportPeerPrompts("p", promptTokens = 15_000)
                Thread.sleep(400)
                FakeServer.reply(socket, request, "h42")
            }
            relay.server("d", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..2) }
            assertEquals(listOf("1", "2"), events(relay.get("/stream/1")))
            assertEquals(1, prefill.requests.count { !it.target.startsWith("/cache/") })
        }

        @Test
        fun `the decode server reads the prompt after the prefill server has failed`() {
            relay.prefillServer("p") { _, _ -> false }
            relay.server("d", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..2) }
            assertEquals(listOf("1", "2"), events(relay.get("/stream/1")))
        }

        @Test
        fun `a KV cache that is no longer needed is released`() {
            val freed = java.util.concurrent.CountDownLatch(1)
            relay.prefillServer("p") { request, socket ->
                if (request.target.startsWith("/cache/")) freed.countDown()
                FakeServer.reply(socket, request, "h42")
            }
            relay.server("d", ServerKind.DECODE) { _, _ -> true }.close()
            relay.get("/stream/1")
            assertTrue(freed.await(2, java.util.concurrent.TimeUnit.SECONDS))
        }
    }

    @Nested
    inner class BrokenStreams {
        @Test
        fun `a broken stream is resumed on another server after the last complete event`() {
            val servers = listOf("d1", "d2").map { id ->
                relay.server(id, ServerKind.DECODE) { request, socket ->
                    val after = request.header("after")?.toInt()
                    if (after ==
                        null
                    ) {
                        FakeServer.breakOff(socket, request)
                    } else {
                        FakeServer.stream(socket, request, after + 1..4)
                    }
                }
            }
            val answer = relay.get("/stream/1")
            assertEquals(listOf("1", "2", "3", "4"), events(answer))
            assertTrue(answer.endsWith("0\r\n\r\n"))
            assertEquals(listOf("2"), servers.flatMap { it.requests }.mapNotNull { it.header("after") })
        }

        @Test
        fun `events repeated by the resuming server are not sent to the caller again`() {
            listOf("d1", "d2").forEach { id ->
                relay.server(id, ServerKind.DECODE) { request, socket ->
                    if (request.header("after") ==
                        null
                    ) {
                        FakeServer.breakOff(socket, request)
                    } else {
                        FakeServer.stream(socket, request, 1..4)
                    }
                }
            }
            assertEquals(listOf("1", "2", "3", "4"), events(relay.get("/stream/1")))
        }

        @Test
        fun `a stream that can't be resumed ends without the last chunk`() {
            relay.server("d1", ServerKind.DECODE) { request, socket -> FakeServer.breakOff(socket, request) }
            val answer = relay.get("/stream-once/1")
            assertEquals(listOf("1", "2"), events(answer))
            assertFalse(answer.endsWith("0\r\n\r\n"))
        }

        @Test
        fun `a queued request that has failed before ends once, and later requests are still admitted`() {
            relay.server("d1", ServerKind.DECODE) { _, _ -> false }
            relay.server("d2", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..2) }
            relay.reportPeerLoad("d2", memoryTokens = 10_000)
            val head = "POST /stream-short/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\nconnection: close\r\n"
            assertTrue(relay.exchange("${head}content-length: 4\r\n\r\nbody").startsWith("HTTP/1.1 502"))
            relay.reportPeerLoad("d2", memoryTokens = 0)
            assertEquals(listOf("1", "2"), events(relay.get("/stream-short/2", id = "r2")))
        }

        @Test
        fun `a stream that breaks long after its start still waits for capacity elsewhere`() {
            relay.server("d1", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request)
                FakeServer.chunk(socket, FakeServer.event(1))
                Thread.sleep(900)
                FakeServer.chunk(socket, FakeServer.event(2))
                relay.reportPeerLoad("d1", memoryTokens = 10_000)
                Thread.sleep(900)
                false
            }
            relay.reportPeerLoad("d1", memoryTokens = 0)
            thread(isDaemon = true) {
                Thread.sleep(500)
                relay.server("d2", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 3..4) }
                relay.reportPeerLoad("d2", memoryTokens = 10_000)
                Thread.sleep(1_700)
                relay.reportPeerLoad("d2", memoryTokens = 0)
            }
            assertEquals(listOf("1", "2", "3", "4"), events(relay.get("/stream-short/1")))
        }
    }

    private fun events(answer: String) = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()
}
