package gentiandale.relay

import gentiandale.core.ServerKind
import gentiandale.relay.forward.CutOff
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests at a VM with one retry left, some of whose sends reach no server. */
class UnsentRetryTest {
    private val forwardPort = ServerSocket(0).use { it.localPort }
    private val resources = ArrayList<AutoCloseable>()
    private val relay = fixture(CUT_VM)

    @AfterEach
    fun close() = resources.forEach { it.close() }

    private fun fixture(vm: String) =
        RelayFixture(vm = vm, forwardPort = forwardPort, retryMinimum = 0).also(resources::add)

    private fun refusing(at: RelayFixture, id: String, kind: ServerKind = ServerKind.PLAIN) =
        at.merge(rowOf(id, kind, CutOff.refusing().also(resources::add).port))

    private fun decodeServer(at: RelayFixture, id: String, breaksOff: Boolean = false): FakeServer =
        at.server(id, ServerKind.DECODE) { request, socket ->
            if (breaksOff && request.target == BROKEN) {
                FakeServer.breakOff(socket, request)
            } else {
                FakeServer.stream(socket, request, (request.header("after")?.toInt() ?: 0) + 1..3)
            }
        }

    private fun served(request: RawRequest, socket: Socket) = FakeServer.reply(socket, request, "served")

    private fun assertWhole(answer: String) {
        val events = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals(listOf("1", "2", "3"), events, answer.take(200))
        assertTrue(answer.endsWith("0\r\n\r\n"))
    }

    private fun assertServed(answer: String) = assertTrue(answer.endsWith("served"), answer)

    private fun status(answer: String) = answer.substringBefore("\r\n").split(" ")[1]

    @Nested
    inner class RefusedConnections {
        // Guards against streams that are cut because a refused connection has used up the last retry.
        @Test
        fun `take no retry from a stream that broke off`() {
            decodeServer(relay, "d1", breaksOff = true)
            refusing(relay, "d2", ServerKind.DECODE)
            decodeServer(relay, "d3")
            listOf("d2" to 1_000L, "d3" to 2_000L).forEach { (id, tokens) -> relay.reportPeerLoad(id, tokens) }
            assertWhole(relay.get("/stream/1", id = "r1"))
            assertWhole(relay.get(BROKEN, id = "r2"))
        }
    }

    @Nested
    inner class PeersWithoutServers {
        private val peer = fixture(PEER_VM)
        private val other = fixture(OTHER_VM)

        private fun cutOff(at: RelayFixture, kind: ServerKind) = repeat(3) { refusing(at, "s${it + 1}", kind) }

        private fun namePeers() {
            relay.onLost = { if (it.isNotEmpty()) relay.namePeers(PEER_VM) }
            peer.onLost = { if (it.isNotEmpty()) relay.namePeers(OTHER_VM) }
        }

        // Guards against requests that are given up because peers that were cut as well have used up the last retry.
        @Test
        fun `take no retry from a call`() {
            listOf(relay, peer).forEach { cutOff(it, ServerKind.PLAIN) }
            other.server("s1", answer = ::served)
            namePeers()
            assertServed(relay.get("/once/1"))
        }

        @Test
        fun `take no retry from a stream`() {
            listOf(relay, peer).forEach { cutOff(it, ServerKind.DECODE) }
            decodeServer(other, "s1")
            namePeers()
            assertWhole(relay.get("/stream/1"))
        }
    }

    @Nested
    inner class PeersWithFullServers {
        // The arrival at the full server is free at the peer, so the forwarding VM pays for another one.
        @Test
        fun `take a retry`() {
            val peer = fixture(PEER_VM)
            val other = fixture(OTHER_VM)
            repeat(3) { refusing(relay, "s${it + 1}") }
            peer.server("s1") { request, socket ->
                relay.namePeers(OTHER_VM)
                FakeServer.reject(socket, request)
            }
            val free = other.server("s1", answer = ::served)
            relay.onLost = { if (it.isNotEmpty()) relay.namePeers(PEER_VM) }
            assertEquals("503", status(relay.get("/once/1")))
            assertEquals(0, free.requests.size)
        }
    }

    private companion object {
        const val BROKEN = "/stream/broken"
        const val CUT_VM = "127.0.1.41"
        const val PEER_VM = "127.0.1.42"
        const val OTHER_VM = "127.0.1.43"
    }
}
