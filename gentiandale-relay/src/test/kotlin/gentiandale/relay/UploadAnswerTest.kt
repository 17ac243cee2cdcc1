package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Servers that answer while the body of a request is still being written to them. A part of such an answer must not
 * pass for the whole.
 */
class UploadAnswerTest {
    private val resources = ArrayList<AutoCloseable>()

    @AfterEach
    fun closeAll() {
        resources.reversed().forEach { it.close() }
        resources.clear()
    }

    /** How a server ends the connection on which it has written a part of its answer. */
    private enum class Ending(val end: (Socket) -> Unit) {
        RESET({
            Thread.sleep(DELIVERY_MS)
            it.setSoLinger(true, 0)
        }),
        RESET_AT_ONCE({ it.setSoLinger(true, 0) }),

        CLOSE({ Thread.sleep(DELIVERY_MS) }),
        HALF_CLOSE({
            it.shutdownOutput()
            Thread.sleep(HALF_OPEN_MS)
        }),
        HALF_CLOSE_AND_READ({
            it.shutdownOutput()
            it.getInputStream().skip(Long.MAX_VALUE)
        }),
    }

    /** How the head of an answer states the end of its body, which is cut. */
    private enum class Head(val lines: String, val size: String = "", val interim: String = "") {
        NO_LENGTH(""),
        AFTER_100("", interim = "HTTP/1.1 100 Continue\r\n\r\n"),
        LENGTH("content-length: 1000000\r\n"),
        CHUNKED("transfer-encoding: chunked\r\n", size = "f4240\r\n"),
    }

    /** How the caller states the end of its body. */
    private enum class Upload { LENGTH, CHUNKED }

    private fun <T : AutoCloseable> T.closedLater() = also(resources::add)

    /**
     * Starts a server that writes [part] under [head] once it has read a little of a body, then ends by [ending]. It
     * has a receive buffer of [bufferBytes] and calls [before] first.
     */
    private fun earlyServer(
        head: Head,
        part: String,
        ending: Ending,
        bufferBytes: Int = FakeServer.SMALL_BUFFER_BYTES,
        before: () -> Unit = {},
    ): FakeServer {
        val server = FakeServer(readsBody = false, bufferBytes) { request, socket ->
            before()
            val start = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\n${head.lines}\r\n"
            socket.getOutputStream().write((head.interim + start + head.size + part).toByteArray())
            ending.end(socket)
            false
        }
        return server.closedLater()
    }

    /** Sends a body that doesn't fit into the buffers of sockets, and returns the answer. */
    private fun RelayFixture.upload(
        target: String,
        form: Upload = Upload.LENGTH,
        bytes: Int = UPLOAD_BYTES,
    ): String = connect().use { socket ->
        val output = socket.getOutputStream()
        output.write("POST $target HTTP/1.1\r\nhost: h\r\nid: r1\r\nconnection: close\r\n".toByteArray())
        val body = "x".repeat(bytes)
        output.write(
            when (form) {
                Upload.LENGTH -> "content-length: $bytes\r\n\r\n$body"
                Upload.CHUNKED -> "transfer-encoding: chunked\r\n\r\n${bytes.toString(HEX)}\r\n$body\r\n0\r\n\r\n"
            }.toByteArray(),
        )
        String(socket.getInputStream().readAllBytes())
    }

    private fun events(answer: String) = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()

    /** Asserts that [run] returns [expected] for each of [variants], each head and each ending. */
    private fun <V, T> assertEach(expected: T, variants: List<V>, run: (V, Head, Ending) -> T) {
        val results = variants.flatMap { variant ->
            Head.entries.flatMap { head ->
                Ending.entries.map { "$variant $head $it" to run(variant, head, it).also { closeAll() } }
            }
        }
        assertEquals(emptyList(), results.filter { it.second != expected })
    }

    @Nested
    inner class PlainCalls {
        @Test
        fun `a part of an answer is a failure and the call isn't repeated`() {
            val forms = listOf(false, true).flatMap { isForwarded -> Upload.entries.map { isForwarded to it } }
            assertEach(FAILURE to 1, forms) { (isForwarded, form), head, ending ->
                val path = RelayPath(isForwarded, ServerKind.PLAIN).closedLater()
                val servers = List(2) { earlyServer(head, "part", ending) }
                servers.forEachIndexed { index, server -> path.relay.register("s$index", server) }
                path.front.upload("/once/1", form).substringBefore("\r\n") to servers.sumOf { it.requests.size }
            }
        }

        @Test
        fun `a large part that is forwarded as it arrives has no end`() =
            assertEach(null, listOf(false, true)) { isForwarded, head, ending ->
                val path = RelayPath(isForwarded, ServerKind.PLAIN).closedLater()
                path.relay.register("s1", earlyServer(head, "y".repeat(LARGE_BYTES), ending))
                path.front.upload("/once/1").takeIf(::isWhole)?.take(SHOWN)
            }

        // Guards against a body that counts as written while the buffers of the system hold most of it.
        @Test
        fun `a part of an answer to a shorter upload is a failure`() =
            assertEach(FAILURE, listOf(SHORTER_BYTES, SHORT_BYTES)) { bytes, head, ending ->
                val relay = RelayFixture().closedLater()
                relay.register("s1", earlyServer(head, "part", ending))
                relay.upload("/once/1", bytes = bytes).substringBefore("\r\n")
            }

        // Guards against a body that counts as written before the answer, as a late event loop writes before it reads.
        @Test
        fun `a part of an answer is a failure though the event loop was busy when it came`() =
            assertEach(FAILURE, listOf(STALLED_BYTES)) { bytes, head, ending ->
                val relay = RelayFixture().closedLater()
                val server = earlyServer(head, "part", ending, LARGE_BUFFER_BYTES) {
                    Thread.sleep(FILL_MS)
                    relay.stall(STALL_MS)
                }
                relay.register("s1", server)
                relay.upload("/once/1", bytes = bytes).substringBefore("\r\n")
            }

        @Test
        fun `a call that may be repeated gets the answer of another server`() =
            assertEach("HTTP/1.1 200 OK" to "whole", listOf("/safe/1")) { target, head, ending ->
                val relay = RelayFixture().closedLater()
                relay.register("s1", earlyServer(head, "part", ending))
                relay.reportPeerLoad("s2", memoryTokens = 1)
                relay.server("s2") { request, socket -> FakeServer.reply(socket, request, "whole") }
                val answer = relay.upload(target)
                answer.substringBefore("\r\n") to answer.substringAfter("\r\n\r\n")
            }

        @Test
        fun `an answer with its length is whole though the server reads no more`() {
            val relay = RelayFixture().closedLater()
            val server = FakeServer(readsBody = false) { request, socket ->
                FakeServer.reply(socket, request, "whole")
                Thread.sleep(HALF_OPEN_MS)
                false
            }.closedLater()
            relay.register("s1", server)
            assertTrue(relay.upload("/once/1").endsWith("\r\n\r\nwhole"))
        }

        @Test
        fun `an answer without a length is whole if the server has read the body before`() {
            val relay = RelayFixture().closedLater()
            relay.server("s1") { request, socket ->
                val head = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\n\r\n"
                socket.getOutputStream().write("${head}whole".toByteArray())
                false
            }
            assertTrue(relay.upload("/once/1").endsWith("\r\n\r\nwhole"))
        }

        private fun isWhole(answer: String) = !answer.startsWith("HTTP/1.1 50") && answer.endsWith("0\r\n\r\n")
    }

    @Nested
    inner class Streams {
        private val events12 = FakeServer.event(1) + FakeServer.event(2)

        @Test
        fun `a part of a stream has no end`() =
            assertEach(null, listOf(false, true)) { isForwarded, head, ending ->
                val path = RelayPath(isForwarded, ServerKind.DECODE).closedLater()
                path.relay.register("d1", earlyServer(head, events12, ending), ServerKind.DECODE)
                path.front.upload("/stream-once/1").takeIf { it.endsWith("0\r\n\r\n") && "502" !in it }
            }

        @Test
        fun `a part of a stream goes on at another server`() =
            assertEach(listOf("1", "2", "3", "4"), listOf("/stream/1")) { target, head, ending ->
                val relay = RelayFixture().closedLater()
                relay.register("d1", earlyServer(head, events12, ending), ServerKind.DECODE)
                relay.server("d2", ServerKind.DECODE) { request, socket ->
                    FakeServer.stream(socket, request, (request.header("after")?.toInt() ?: 0) + 1..4)
                }
                relay.reportPeerLoad("d2", memoryTokens = 5_000)
                events(relay.upload(target))
            }
    }

    @Nested
    inner class Prefills {
        @Test
        fun `a part of a handle isn't used`() =
            assertEach(emptyList<String?>(), listOf(false, true)) { isForwarded, head, ending ->
                val path = RelayPath(isForwarded, ServerKind.DECODE).closedLater()
                path.relay.register("p", earlyServer(head, "h4", ending), ServerKind.PREFILL)
                path.relay.reportPeerPrompts("p", promptTokens = 10_000)
                val decode = path.relay.server("d", ServerKind.DECODE) { request, socket ->
                    FakeServer.stream(socket, request, 1..2)
                }
                path.front.upload("/stream/1")
                decode.requests.mapNotNull { it.header("cache") }
            }
    }

    private companion object {
        /** Fills the buffers of the sockets on both sides many times; the largest body is a little larger. */
        const val UPLOAD_BYTES = 4_000_000

        /** Fit into the buffer of the sender, but not into that of a server that doesn't read. */
        const val SHORTER_BYTES = 1_000_000
        const val SHORT_BYTES = 400_000
        const val FAILURE = "HTTP/1.1 502 Bad Gateway"

        /** More than a relay buffers before it forwards an answer. */
        const val LARGE_BYTES = 400_000
        const val HEX = 16
        const val SHOWN = 200

        /** Time for the relay to read what precedes the end of a connection. */
        const val DELIVERY_MS = 30L

        /** Time for which a server that has ended its answer keeps the connection open. */
        const val HALF_OPEN_MS = 300L

        /** Systems allow that much without further settings. */
        const val LARGE_BUFFER_BYTES = 212_992

        /**
         * More than the buffers of both sides take while the server doesn't read, by less than it takes in one go after
         * it has read them.
         */
        const val STALLED_BYTES = 750_000

        /** Time for the relay to fill the buffers. */
        const val FILL_MS = 50L

        /** Longer than a server takes to answer and to read what has been sent to it. */
        const val STALL_MS = 50L
    }
}
