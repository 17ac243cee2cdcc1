package gentiandale.relay.forward

import gentiandale.core.ServerKind
import gentiandale.relay.FakeServer
import gentiandale.relay.RelayFixture
import gentiandale.relay.rowOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.ServerSocket
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** An entry VM that loses its servers at the same time as the peer that is named first. */
class StalePeersTest {
    private val forwardPort = ServerSocket(0).use { it.localPort }
    private val resources = ArrayList<AutoCloseable>()
    private val timer = Executors.newSingleThreadScheduledExecutor()
    private val cut = fixture(CUT_VM)
    private val peer = fixture(PEER_VM)
    private val other = fixture(OTHER_VM)

    @AfterEach
    fun close() {
        timer.shutdownNow()
        resources.forEach { it.close() }
    }

    private fun fixture(vm: String) = RelayFixture(vm = vm, forwardPort = forwardPort).also(resources::add)

    private fun refuse(at: RelayFixture, kind: ServerKind, vararg ids: String) = ids.forEach { id ->
        at.merge(rowOf(id, kind, CutOff.refusing().also(resources::add).port))
    }

    private fun assertWhole(answer: String) {
        val events = Regex("data: x(\\d+)\n\n").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals(listOf("1", "2", "3"), events, answer.take(300))
        assertTrue(answer.endsWith("0\r\n\r\n"))
    }

    @Nested
    inner class LateNames {
        /** Names a peer that reaches no server either, then the other one [NAMED_MS] after the first noticed that. */
        private fun nameLate() {
            cut.onLost = { if (it.isNotEmpty()) cut.namePeers(PEER_VM) }
            peer.onLost = {
                if (it.isNotEmpty()) timer.schedule({ cut.namePeers(OTHER_VM) }, NAMED_MS, TimeUnit.MILLISECONDS)
            }
        }

        // Guards against streams that are cut since they asked the same peer five times within a few milliseconds.
        @Test
        fun `are awaited by a stream`() {
            listOf(cut, peer).forEach { refuse(it, ServerKind.DECODE, "s1", "s2", "s3") }
            other.server("s1", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..3) }
            nameLate()
            assertWhole(cut.get("/stream/1"))
        }

        @Test
        fun `are awaited by a call`() {
            listOf(cut, peer).forEach { refuse(it, ServerKind.PLAIN, "s1", "s2", "s3") }
            other.server("s1") { request, socket -> FakeServer.reply(socket, request, "served") }
            nameLate()
            val answer = cut.get("/once/1")
            assertTrue(answer.endsWith("served"), answer)
        }
    }

    @Nested
    inner class AllRefused {
        // Guards against streams that are cut as the next report of this VM, which brings other names, comes too late.
        @Test
        fun `others are asked for at once`() {
            val names = arrayOf(PEER_VM, OTHER_VM).iterator()
            listOf(cut, peer).forEach { refuse(it, ServerKind.DECODE, "s1", "s2", "s3") }
            other.server("s1", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 1..3) }
            cut.onLost = { if (it.isNotEmpty() && names.hasNext()) cut.namePeers(names.next()) }
            assertWhole(cut.get("/stream/1"))
        }
    }

    @Nested
    inner class FewServers {
        // Guards against streams that are cut since all their servers have failed before the service counts as lost.
        @Test
        fun `a begun stream goes on at a peer though only two servers have refused a connection`() {
            lateinit var first: FakeServer
            first = cut.server("d1", ServerKind.DECODE) { request, socket ->
                FakeServer.begin(socket, request)
                FakeServer.chunk(socket, FakeServer.event(1))
                // The request is no longer suspected of crashes, whose check would notice the loss of the servers too.
                Thread.sleep(ESTABLISHED_MS)
                FakeServer.chunk(socket, FakeServer.event(2))
                first.close()
                false
            }
            refuse(cut, ServerKind.DECODE, "d2", "d3")
            listOf("d2", "d3").forEach { cut.reportPeerLoad(it, memoryTokens = 5_000) }
            refuse(cut, ServerKind.PREFILL, "p1", "p2")
            listOf("p1", "p2").forEach { cut.reportPeerPrompts(it, promptTokens = 1_000_000) }
            cut.onLost = { if (it.isNotEmpty()) cut.namePeers(OTHER_VM) }
            other.server("d1", ServerKind.DECODE) { request, socket -> FakeServer.stream(socket, request, 3..3) }
            assertWhole(cut.get("/stream/1"))
        }
    }

    private companion object {
        const val CUT_VM = "127.0.1.51"
        const val PEER_VM = "127.0.1.52"
        const val OTHER_VM = "127.0.1.53"
        const val NAMED_MS = 60L
        const val ESTABLISHED_MS = 350L
    }
}
