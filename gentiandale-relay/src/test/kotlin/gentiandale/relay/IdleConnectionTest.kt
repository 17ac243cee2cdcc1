package gentiandale.relay

import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers that answer twice and break the second answer off, after which their connection would be used again. */
class IdleConnectionTest {
    private var relay = RelayFixture()
    private val written = Semaphore(0)

    @AfterEach
    fun close() = relay.close()

    private fun copyOf(request: RawRequest) =
        "HTTP/1.1 200 OK\r\nnote: first\r\nid: ${request.header("id")}\r\nsigned: 1\r\ncontent-length: 5\r\n\r\nfirst"

    /** Answers `first` by [again], with a copy of the length in the target, and other targets with their answer. */
    private fun start(again: (RawRequest, Socket, String) -> Unit) {
        relay.server("a") { request, socket ->
            if ("second" in request.target) return@server FakeServer.reply(socket, request, "second")
            again(request, socket, copyOf(request).take(request.target.substringAfterLast('/').toInt()))
            written.release()
            true
        }
    }

    /** Returns the lengths of a copy after which the next request has not got its own answer, and what it has got. */
    private fun mixed(again: (RawRequest, Socket, String) -> Unit) = (1..COPY_LENGTH).mapNotNull { length ->
        relay.close()
        relay = RelayFixture()
        start(again)
        relay.get("/once/first/$length", id = "r1")
        assertTrue(written.tryAcquire(WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS), "answer to request of length $length")
        Thread.sleep(DELIVERY_MS)
        val answer = relay.get("/once/second", id = "r2")
        val isOwn = answer.startsWith("HTTP/1.1 200") && "first" !in answer && answer.endsWith("\r\n\r\nsecond")
        if (isOwn) null else "$length ${answer.substringBefore("\r\n")}"
    }

    @Test
    fun `a copy in the segment of the first answer is not joined to the next answer wherever it is cut`() {
        val mixed = mixed { request, socket, copy ->
            socket.getOutputStream().write((copyOf(request) + copy).toByteArray())
        }
        assertEquals(emptyList(), mixed)
    }

    @Test
    fun `a copy on an idle connection is not joined to the next answer wherever it is cut`() {
        val mixed = mixed { request, socket, copy ->
            socket.getOutputStream().write(copyOf(request).toByteArray())
            Thread.sleep(DELIVERY_MS)
            socket.getOutputStream().write(copy.toByteArray())
        }
        assertEquals(emptyList(), mixed)
    }

    @Test
    fun `an empty line behind an answer ends the use of its connection`() {
        val sockets = HashSet<Socket>()
        relay.server("a") { request, socket ->
            sockets += socket
            socket.getOutputStream().write((copyOf(request) + "\r\n").toByteArray())
            true
        }
        repeat(2) { relay.get("/once/$it", id = "r$it") }
        assertEquals(2, sockets.size)
    }

    private companion object {
        /** Length of the longest copy, up to the last byte of its body. */
        const val COPY_LENGTH = 75

        /** Longer than a request takes on a busy machine. */
        const val WRITE_TIMEOUT_MS = 5_000L

        /** Time for written bytes to reach the relay. */
        const val DELIVERY_MS = 20L
    }
}
