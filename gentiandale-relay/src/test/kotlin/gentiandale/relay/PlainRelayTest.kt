package gentiandale.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PlainRelayTest {
    private val relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    @Nested
    inner class CompleteAnswers {
        @Test
        fun `method, target, headers and body are forwarded unchanged, reserved headers are removed`() {
            val server = relay.server("a") { request, socket -> FakeServer.reply(socket, request, "done") }
            val answer = relay.exchange(
                "POST /once/x%20y?q=a+b HTTP/1.1\r\nHost: h\r\nid: r7\r\nX-Other: 1\r\nstage: forged\r\n" +
                    "connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            )
            assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n") && answer.endsWith("\r\n\r\ndone"), answer)
            val seen = server.requests.single()
            assertEquals("/once/x%20y?q=a+b", seen.target)
            assertEquals("abcde", seen.body)
            assertEquals("1", seen.header("X-Other"))
            assertEquals("a", seen.header("server"))
            assertNull(seen.header("stage"))
        }

        @Test
        fun `requests on one connection are answered in order`() {
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, request.target) }
            val one = "GET /safe/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n"
            val two = "GET /safe/2 HTTP/1.1\r\nhost: h\r\nid: r2\r\nconnection: close\r\n\r\n"
            val answer = relay.exchange(one + two)
            assertEquals(listOf("/safe/1", "/safe/2"), Regex("/safe/\\d").findAll(answer).map { it.value }.toList())
        }

        @Test
        fun `an answer without a length ends when the server closes the connection`() {
            relay.server("a") { request, socket ->
                socket.getOutputStream().write(
                    "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\n\r\nall".toByteArray(),
                )
                false
            }
            assertTrue(relay.get("/safe/1").endsWith("\r\n\r\nall"))
        }
    }

    @Nested
    inner class BadAnswers {
        @Test
        fun `a success without the signature of a server is not forwarded`() {
            relay.server("a") { request, socket -> unsigned(socket, request) }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
        }

        @Test
        fun `an answer with the id of another request is discarded and the right one awaited`() {
            relay.server("a") { request, socket ->
                socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nid: other\r\nsigned: 1\r\ncontent-length: 5\r\n\r\nwrong".toByteArray())
                FakeServer.reply(socket, request, "right")
            }
            val answer = relay.get("/once/1")
            assertTrue(answer.endsWith("right") && "wrong" !in answer, answer)
        }

        @Test
        fun `a surplus answer is not used for the next request`() {
            relay.server("a") { request, socket ->
                FakeServer.reply(socket, request, request.target)
                FakeServer.reply(socket, request, "surplus")
            }
            val answers = (1..5).map { relay.get("/safe/$it", id = "r$it") }
            assertEquals((1..5).map { "/safe/$it" }, answers.map { it.substringAfter("\r\n\r\n") })
        }

        @Test
        fun `a truncated answer of an at-most-once request ends as a failure`() {
            val server = relay.server("a") { request, socket -> truncated(socket, request) }
            relay.server("b") { request, socket -> truncated(socket, request) }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
            assertTrue(server.requests.size <= 1)
        }

        @Test
        fun `a truncated answer of an idempotent request is retried on another server`() {
            relay.server("a") { request, socket -> truncated(socket, request) }
            relay.server("b") { request, socket -> FakeServer.reply(socket, request, "whole") }
            repeat(6) { assertTrue(relay.get("/safe/1").endsWith("whole")) }
        }

        @Test
        fun `an encoded answer and a malformed one are not forwarded`() {
            var count = 0
            relay.server("a") { request, socket ->
                if (count++ == 0) {
                    FakeServer.reply(socket, request, "zipped", extra = "content-encoding: gzip\r\n")
                } else {
                    socket.getOutputStream().write("\u0000garbage\r\n\r\n".toByteArray())
                    false
                }
            }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
        }

        private fun unsigned(socket: Socket, request: RawRequest): Boolean {
            val head = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\ncontent-length: 2\r\n\r\nok"
            socket.getOutputStream().write(head.toByteArray())
            return true
        }

        private fun truncated(socket: Socket, request: RawRequest): Boolean {
            val head = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\ncontent-length: 9\r\n\r\npart"
            socket.getOutputStream().write(head.toByteArray())
            return false
        }
    }

    @Nested
    inner class EarlyAnswers {
        @Test
        fun `a server that answers before it has read a long body still receives all of that body`() {
            val body = "b".repeat(300_000)
            val remainingBody = java.util.concurrent.CompletableFuture<String>()
            relay.server("a") { request, socket ->
                FakeServer.reply(socket, request, "early")
                Thread.sleep(200)
                val left = body.length - request.body.length
                if (left >
                    0
                ) {
                    remainingBody.complete(String(socket.getInputStream().readNBytes(left)))
                } else {
                    remainingBody.complete(request.body)
                }
                true
            }
            val head = "POST /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\nconnection: close\r\n"
            val answer = relay.exchange("${head}content-length: ${body.length}\r\n\r\n$body")
            assertTrue(answer.endsWith("early"))
            assertTrue(remainingBody.get(5, java.util.concurrent.TimeUnit.SECONDS).all { it == 'b' })
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `a request that a server has not executed is sent to another one`() {
            relay.server("a") { request, socket -> rejected(socket, request) }
            relay.server("b") { request, socket -> FakeServer.reply(socket, request, "ran") }
            repeat(6) { assertTrue(relay.get("/once/1").endsWith("ran")) }
        }

        @Test
        fun `a request that no server has executed is refused with a retry-after header`() {
            relay.server("a") { request, socket -> rejected(socket, request) }
            val answer = relay.get("/once/1")
            assertTrue(answer.startsWith("HTTP/1.1 503") && "retry-after: 0." in answer, answer)
        }

        @Test
        fun `a slow answer is awaited if there is no other server`() {
            val server = relay.server("a") { request, socket ->
                Thread.sleep(400)
                FakeServer.reply(socket, request, "ran")
            }
            assertTrue(relay.get("/safe/1").endsWith("ran"))
            assertEquals(1, server.requests.size)
        }

        @Test
        fun `a request waits while all servers are full for a moment`() {
            var calls = 0
            relay.server("a") { request, socket ->
                if (calls++ < 2) rejected(socket, request) else FakeServer.reply(socket, request, "ran")
            }
            assertTrue(relay.get("/once/1").endsWith("ran"))
            assertEquals(3, calls)
        }

        @Test
        fun `a request that waits for a full server is refused while it could still be retried in time`() {
            val server = relay.server("a") { request, socket -> rejected(socket, request) }
            val startNanos = System.nanoTime()
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 503"))
            assertTrue(System.nanoTime() - startNanos < 1_000_000_000)
            assertTrue(server.requests.size in 2..6, "${server.requests.size} arrivals")
        }

        @Test
        fun `a request that waits is sent to no more servers than its route allows`() {
            val servers = listOf("a", "b", "c", "d").map { id ->
                relay.server(id) { request, socket -> rejected(socket, request) }
            }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 503"))
            assertEquals(2, servers.count { it.requests.isNotEmpty() })
        }

        @Test
        fun `a 503 without the not-executed header is not forwarded`() {
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, "", status = "503 Busy") }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
        }

        @Test
        fun `without a server a request is refused at once`() {
            val startMs = System.nanoTime()
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 503"))
            assertTrue(System.nanoTime() - startMs < 1_000_000_000)
        }

        @Test
        fun `a request without a matching route gets a 404`() {
            assertTrue(relay.get("/nowhere/1").startsWith("HTTP/1.1 404"))
        }

        @Test
        fun `a server that can't be reached does not use up an attempt`() {
            relay.server("a") { _, _ -> false }.close()
            relay.server("b") { request, socket -> FakeServer.reply(socket, request, "ran") }
            repeat(6) { assertTrue(relay.get("/once/1").endsWith("ran")) }
        }

        private fun rejected(socket: Socket, request: RawRequest) =
            FakeServer.reply(socket, request, "", status = "503 Full", extra = "not-executed: 1\r\n")
    }

    @Nested
    inner class Shutdown {
        @Test
        fun `during a shutdown a request is served if it can be finished and refused at once if not`() {
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, "done") }
            relay.beginShutdown(agoMs = 4_000, remainingMs = 3_000)
            assertTrue(relay.get("/once/1").endsWith("done"))
            val refused = relay.get("/stream/1")
            assertTrue(refused.startsWith("HTTP/1.1 503") && "retry-after" in refused, refused)
            relay.beginShutdown(agoMs = 6_500, remainingMs = 500)
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 503"))
        }

        @Test
        fun `a stream that starts right after the shutdown signal is served`() {
            val server = relay.server("a") { request, socket ->
                FakeServer.reply(socket, request, "id: 1\ndata: x\n\n")
            }
            relay.beginShutdown(agoMs = 500, remainingMs = 6_500)
            assertTrue(relay.get("/stream/1").startsWith("HTTP/1.1 200"))
            assertEquals(1, server.requests.size)
        }
    }

    @Nested
    inner class Deadlines {
        @Test
        fun `a request gets a 504 when the timeout of its route expires`() {
            relay.server("a") { _, _ -> true }
            val startMs = System.nanoTime()
            assertTrue(relay.get("/short/1").startsWith("HTTP/1.1 504"))
            assertTrue(System.nanoTime() - startMs in 180_000_000..900_000_000)
        }

        @Test
        fun `the server receives the remaining time of the caller's deadline`() {
            val server = relay.server("a") { request, socket -> FakeServer.reply(socket, request, "") }
            relay.get("/safe/1", "deadline: 700\r\n")
            assertTrue(server.requests.single().header("deadline")!!.toLong() in 1..700)
        }

        @Test
        fun `the connection to the server is closed when the caller disconnects`() {
            val received = java.util.concurrent.CountDownLatch(1)
            val closed = java.util.concurrent.CountDownLatch(1)
            relay.server("a") { _, socket ->
                received.countDown()
                if (socket.getInputStream().read() < 0) closed.countDown()
                false
            }
            relay.connect().use {
                it.getOutputStream().write("GET /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n".toByteArray())
                assertTrue(received.await(5, java.util.concurrent.TimeUnit.SECONDS))
            }
            assertTrue(closed.await(1, java.util.concurrent.TimeUnit.SECONDS))
        }
    }

    @Nested
    inner class BadRequests {
        @Test
        fun `an ambiguous request is refused and reaches no server`() {
            val server = relay.server("a") { request, socket -> FakeServer.reply(socket, request, "") }
            val start = "POST /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n"
            val cases = mapOf(
                "two content lengths" to "${start}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
                "content length and chunks" to
                    "${start}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                "unsupported transfer coding" to "${start}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "bad chunk size" to "${start}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
                "negative length" to "${start}content-length: -1\r\n\r\n",
                "chunks with HTTP/1.0" to "${start.replace("1.1", "1.0")}transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                "space in a header name" to "POST /once/1 HTTP/1.1\r\nhost : h\r\n\r\n",
            )
            cases.forEach { (what, bytes) ->
                val answer = relay.exchange(bytes)
                assertTrue(answer.startsWith("HTTP/1.1 400"), "$what: $answer")
            }
            assertEquals(0, server.requests.size)
        }

        @Test
        fun `a folded header line does not become a second header`() {
            val server = relay.server("a") { request, socket -> FakeServer.reply(socket, request, "") }
            relay.get("/safe/1", "x-other: one\r\n stage: prefill\r\n")
            assertTrue(server.requests.all { it.header("stage") == null })
        }

        @Test
        fun `oversized headers and bodies are refused`() {
            assertTrue(relay.get("/safe/1", "x: ${"y".repeat(20_000)}\r\n").startsWith("HTTP/1.1 431"))
            val large = "POST /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\ncontent-length: 5000000\r\n\r\n"
            assertTrue(relay.exchange(large).startsWith("HTTP/1.1 413"))
        }

        @Test
        fun `an incomplete request reaches no server and is closed after the header timeout`() {
            RelayFixture(gentiandale.relay.routing.HttpServerLimits(headerTimeoutMs = 200)).use { quick ->
                val server = quick.server("a") { request, socket -> FakeServer.reply(socket, request, "") }
                assertEquals("", quick.exchange("GET /safe/1 HTTP/1.1\r\nhost: h\r\n"))
                assertEquals(0, server.requests.size)
            }
        }

        @Test
        fun `a caller that sends Expect 100-continue is asked for its body`() {
            relay.server("a") { request, socket -> FakeServer.reply(socket, request, request.body) }
            relay.connect().use { socket ->
                val start = "POST /once/1 HTTP/1.1\r\nhost: h\r\nid: r1\r\n"
                val head = "${start}expect: 100-continue\r\ncontent-length: 2\r\n\r\n"
                socket.getOutputStream().write(head.toByteArray())
                assertTrue(FakeServer.readHead(socket.getInputStream())!!.startsWith("HTTP/1.1 100"))
                socket.getOutputStream().write("ok".toByteArray())
                assertTrue(FakeServer.readHead(socket.getInputStream())!!.startsWith("HTTP/1.1 200"))
            }
        }
    }
}
