package gentiandale.relay

import gentiandale.core.ServerKind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.net.SocketException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BrokenOffAnswerTest {
    private var relay = RelayFixture()

    @AfterEach
    fun close() = relay.close()

    /** Framings by which a server can end a body that it has not written completely. */
    enum class Framing { CONNECTION_END, CHUNKED, LENGTH }

    /** Writes a stream of [text] in which nothing but the events themselves shows whether it is whole. */
    private fun write(socket: Socket, request: RawRequest, text: String, framing: Framing): Boolean {
        val framingHeader = when (framing) {
            Framing.CONNECTION_END -> ""
            Framing.CHUNKED -> "transfer-encoding: chunked\r\n"
            Framing.LENGTH -> "content-length: ${text.length}\r\n"
        }
        val head = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\n$framingHeader\r\n"
        socket.getOutputStream().write(head.toByteArray())
        if (framing == Framing.CHUNKED) {
            FakeServer.chunk(socket, text)
            socket.getOutputStream().write("0\r\n\r\n".toByteArray())
        } else {
            socket.getOutputStream().write(text.toByteArray())
        }
        return framing != Framing.CONNECTION_END
    }

    /** Starts two decode servers, of which the first one to be called answers by [first], the other resumes up to 4. */
    private fun resumingServers(first: (RawRequest, Socket) -> Boolean): List<FakeServer> {
        val answer = { request: RawRequest, socket: Socket ->
            val after = request.header("after")?.toInt()
            val isFirst = after == null && !hasBroken
            hasBroken = true
            if (isFirst) first(request, socket) else FakeServer.stream(socket, request, (after ?: 0) + 1..4)
        }
        return listOf("d1", "d2").map { relay.server(it, ServerKind.DECODE, answer) }
    }

    @Volatile
    private var hasBroken = false

    /** Runs [check] with each framing, on a relay of its own. */
    private fun eachFraming(check: (Framing) -> Unit) = Framing.entries.forEach {
        relay.close()
        relay = RelayFixture()
        hasBroken = false
        check(it)
    }

    private fun reset(socket: Socket): Boolean {
        socket.setSoLinger(true, 0)
        return false
    }

    @Nested
    inner class InsideAnEvent {
        private val cut = FakeServer.event(1) + FakeServer.event(2) + "id: 3\nda"

        @Test
        fun `an unfinished stream is resumed and reaches its caller whole`() = eachFraming { framing ->
            val servers = resumingServers { request, socket -> write(socket, request, cut, framing) }
            val answer = relay.get("/stream/1")
            assertEquals(listOf("1", "2", "3", "4"), events(answer))
            assertTrue(isComplete(answer), "$framing")
            assertEquals(listOf("2"), servers.flatMap { it.requests }.mapNotNull { it.header("after") })
        }

        @Test
        fun `an unfinished stream that can't be resumed is not framed as complete`() = eachFraming { framing ->
            relay.server("d1", ServerKind.DECODE) { request, socket -> write(socket, request, cut, framing) }
            val answer = relay.get("/stream-once/1")
            assertEquals(listOf("1", "2"), events(answer))
            assertFalse(isComplete(answer), "$framing")
        }

        @Test
        fun `an event without the empty line that ends it is unfinished`() {
            resumingServers { request, socket ->
                write(socket, request, FakeServer.event(1) + "id: 2\ndata: x2\n", Framing.CONNECTION_END)
            }
            val answer = relay.get("/stream/1")
            assertEquals(listOf("1", "2", "3", "4"), events(answer))
        }
    }

    @Nested
    inner class BetweenEvents {
        private val whole = FakeServer.event(1) + FakeServer.event(2)

        @Test
        fun `a stream without length or chunks that is reset after an event is resumed`() {
            resumingServers { request, socket ->
                write(socket, request, whole, Framing.CONNECTION_END)
                Thread.sleep(DELIVERY_MS)
                reset(socket)
            }
            assertEquals(listOf("1", "2", "3", "4"), events(relay.get("/stream/1")))
        }

        @Test
        fun `a stream without length or chunks that ends before its first event is sent elsewhere`() {
            resumingServers { request, socket -> write(socket, request, "", Framing.CONNECTION_END) }
            assertEquals(listOf("1", "2", "3", "4"), events(relay.get("/stream/1")))
        }

        @Test
        fun `a whole stream reaches its caller as complete`() = eachFraming { framing ->
            relay.server("d1", ServerKind.DECODE) { request, socket -> write(socket, request, whole, framing) }
            val answer = relay.get("/stream-once/1")
            assertEquals(listOf("1", "2"), events(answer))
            assertTrue(isComplete(answer), "$framing")
        }

        @Test
        fun `empty lines and comments after the last event don't make a stream unfinished`() = eachFraming { framing ->
            val text = "$whole\n: the end\n"
            relay.server("d1", ServerKind.DECODE) { request, socket -> write(socket, request, text, framing) }
            assertTrue(isComplete(relay.get("/stream-once/1")), "$framing")
        }
    }

    @Nested
    inner class PlainAnswers {
        private fun writeUnframed(socket: Socket, request: RawRequest) {
            val head = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nsigned: 1\r\n\r\npart"
            socket.getOutputStream().write(head.toByteArray())
        }

        @Test
        fun `an answer that ends with its connection is complete`() {
            relay.server("a") { request, socket ->
                writeUnframed(socket, request)
                false
            }
            val answer = relay.get("/once/1")
            assertTrue(answer.startsWith("HTTP/1.1 200"))
            assertTrue(answer.endsWith("\r\n\r\npart"))
        }

        @Test
        fun `an answer whose connection is reset is not a success`() {
            relay.server("a") { request, socket ->
                writeUnframed(socket, request)
                Thread.sleep(DELIVERY_MS)
                reset(socket)
            }
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
        }
    }

    /** Servers whose process ends, with all connections closed in order, in an answer without a length. */
    @Nested
    inner class EndOfProcess {
        private val servers = ArrayList<FakeServer>()

        private fun endProcess(request: RawRequest) = servers.first { request in it.requests }.close()

        private fun writeAndEnd(request: RawRequest, socket: Socket): Boolean {
            write(socket, request, FakeServer.event(1) + FakeServer.event(2), Framing.CONNECTION_END)
            endProcess(request)
            return false
        }

        @Test
        fun `a stream cut between two events by the end of its engine is resumed`() {
            servers += resumingServers(::writeAndEnd)
            val answer = relay.get("/stream/1")
            assertEquals(listOf("1", "2", "3", "4"), events(answer))
            assertTrue(isComplete(answer))
        }

        @Test
        fun `a stream cut between two events that can't be resumed is not framed as complete`() {
            servers += relay.server("d1", ServerKind.DECODE, ::writeAndEnd)
            val answer = relay.get("/stream-once/1")
            assertEquals(listOf("1", "2"), events(answer))
            assertFalse(isComplete(answer))
        }

        @Test
        fun `a stream of an engine that leaves is complete at the end of its process`() {
            servers += relay.server("d1", ServerKind.DECODE) { request, socket ->
                relay.merge(rowOf("d1", ServerKind.DECODE, servers.single().port).copy(departing = true))
                writeAndEnd(request, socket)
            }
            assertTrue(isComplete(relay.get("/stream-once/1")))
        }

        private fun startPlain() = listOf("a", "b").forEach { id ->
            servers += relay.server(id) { request, socket ->
                val isFirst = !hasBroken
                hasBroken = true
                if (!isFirst) return@server FakeServer.reply(socket, request, "whole")
                write(socket, request, "wh", Framing.CONNECTION_END)
                endProcess(request)
                false
            }
        }

        @Test
        fun `a call cut by the end of its server is sent again if it may run twice`() {
            startPlain()
            assertTrue(relay.get("/safe/1").endsWith("\r\n\r\nwhole"))
        }

        @Test
        fun `a call cut by the end of its server is no success if it may run once`() {
            startPlain()
            assertTrue(relay.get("/once/1").startsWith("HTTP/1.1 502"))
        }
    }

    /** Callers that end an answer with its connection, since HTTP/1.0 has no chunks. */
    @Nested
    inner class OldCallers {
        private fun get10(target: String) = relay.exchange("GET $target HTTP/1.0\r\nhost: h\r\nid: r1\r\n\r\n")

        @Test
        fun `a broken-off stream resets the connection of an HTTP 1_0 caller`() {
            relay.server("d1", ServerKind.DECODE) { request, socket -> FakeServer.breakOff(socket, request) }
            assertFailsWith<SocketException> { get10("/stream-once/1") }
        }

        @Test
        fun `a whole stream closes the connection of an HTTP 1_0 caller in order`() {
            relay.server("d1", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..2) }
            assertEquals(listOf("1", "2"), events(get10("/stream-once/1")))
        }
    }

    private fun isComplete(answer: String) = answer.endsWith("0\r\n\r\n")

    private fun events(answer: String) = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()

    private companion object {
        /** Time for the relay to read what precedes a reset, which may overtake unread bytes. */
        const val DELIVERY_MS = 200L
    }
}
