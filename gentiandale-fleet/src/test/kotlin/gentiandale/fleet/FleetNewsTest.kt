package gentiandale.fleet

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ManualClock
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.BackendTable
import gentiandale.core.backend.ServerLoad
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import gentiandale.state.Document
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Control VMs and entry VMs with messages that can be cut, in virtual time. */
class FleetNewsTest {
    private class Entry(val id: VmId, clock: ManualClock, sender: FleetSender) : FeedReceiver {
        val table = BackendTable()
        var others = mapOf<ServerId, ServerLoad>()
        override var version = 0L
        override val digest get() = table.digest()
        override var ownLoad = emptyList<ServerLoad>()
        val feed = EntryFeed(id, clock, sender, this, EventLog.NONE)

        override fun use(document: Document, source: VmId): Boolean {
            version = document.version
            return true
        }

        override fun merge(row: BackendRow) = table.merge(row)

        override fun onEntryCount(count: Int) = Unit

        override fun onOtherLoad(loads: List<ServerLoad>) {
            others = others + loads.associateBy { it.id }
        }

        override fun onPause(server: ServerId, forMs: Long) = Unit
    }

    private val clock = ManualClock(1_000)
    private val cut = HashSet<Set<VmId>>()
    private val queue = ArrayDeque<Triple<VmId, VmId, ByteArray>>()
    private val controls = List(4) { VmId("10.0.$it.1") }
    private val hubs = controls.associateWith { id ->
        ControlHub(id, clock, sender(id), EventLog.NONE, silenceMs = 4_800).also {
            it.setSeeds(controls.take(3).toSet())
        }
    }
    private val entries = List(3) { i ->
        val id = VmId("10.9.$i.1")
        Entry(id, clock, sender(id)).also { it.feed.setSeeds(controls.take(3).toSet()) }
    }

    @Nested
    inner class Directory {
        @Test
        fun `a leaving server is known everywhere before the next interval`() {
            run(2_000)
            hubs.getValue(controls[3]).onHeartbeat(row(sequence = 1))
            run(100)
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 2, state = BackendState.LEAVING))
            deliver()
            assertEquals(List(3) { BackendState.LEAVING }, entries.map { it.table[ID]?.state })
        }

        @Test
        fun `an entry VM that was cut off catches up after the cut`() {
            run(2_000)
            controls.forEach { cut += setOf(it, entries[0].id) }
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 1))
            run(3_000)
            assertEquals(null, entries[0].table[ID])
            cut.clear()
            run(2_500)
            assertEquals(BackendState.READY, entries[0].table[ID]?.state)
        }

        @Test
        fun `a server that one control VM no longer hears is not silent for entry VMs that reach another`() {
            run(1_000)
            controls.drop(1).forEach { cut += setOf(controls[0], it) }
            repeat(20) {
                hubs.getValue(controls[1]).onHeartbeat(row(sequence = it + 1L))
                run(1_000)
            }
            run(3_000)
            assertEquals(List(3) { false }, entries.map { it.table[ID]?.silent })
        }
    }

    @Nested
    inner class Configuration {
        @Test
        fun `a new version reaches every entry VM through the VMs that still have a path`() {
            run(2_000)
            controls.drop(1).forEach { cut += setOf(it, entries[1].id) }
            hubs.getValue(controls[2]).onDocument(Document(9, ByteArray(3)))
            run(1_500)
            assertEquals(listOf(9L, 9L, 9L), entries.map { it.version })
        }
    }

    @Nested
    inner class Load {
        @Test
        fun `each entry VM is told what the others have placed`() {
            run(2_000)
            entries[0].ownLoad = listOf(ServerLoad(ID, running = 2, memoryTokens = 12_000))
            entries[1].ownLoad = listOf(ServerLoad(ID, running = 1, memoryTokens = 7_000))
            entries.forEach { it.feed.reportLoad() }
            run(100)
            assertEquals(listOf(7_000L, 12_000L, 19_000L), entries.map { it.others[ID]?.memoryTokens })
        }

        @Test
        fun `of two that place at the same moment the second one knows of the first before it goes on`() {
            run(2_000)
            val seen = ArrayList<Long?>()
            entries.take(2).forEach { entry ->
                entry.ownLoad = listOf(ServerLoad(ID, running = 1, memoryTokens = 7_000))
                entry.feed.confirmLoad { seen += entry.others[ID]?.memoryTokens }
            }
            assertEquals(emptyList(), seen)
            deliver()
            assertEquals(listOf(null, 7_000L), seen)
        }

        @Test
        fun `without a control VM nothing is waited for`() {
            var isDone = false
            entries[0].feed.confirmLoad { isDone = true }
            assertEquals(true, isDone)
        }

        @Test
        fun `the load of a VM that has vanished is dropped`() {
            run(2_000)
            entries[0].ownLoad = listOf(ServerLoad(ID, running = 2, memoryTokens = 12_000))
            run(1_000)
            controls.forEach { cut += setOf(it, entries[0].id) }
            run(5_000)
            assertEquals(0, entries[1].others[ID]?.memoryTokens)
        }
    }

    private fun sender(from: VmId) = FleetSender { to, message ->
        if (setOf(from, to) !in cut) queue.addLast(Triple(from, to, encodeWire<FleetMessage>(message)))
    }

    private fun run(ms: Long) {
        val end = clock.monotonicMs() + ms
        while (clock.monotonicMs() < end) {
            clock.advance(STEP_MS)
            if (clock.monotonicMs() % ControlHub.TICK_MS == 0L) {
                hubs.values.forEach { it.tick() }
                entries.forEach { it.feed.tick() }
            }
            hubs.values.forEach { it.tickLoads() }
            deliver()
        }
    }

    private fun deliver() {
        while (queue.isNotEmpty()) {
            val (from, to, bytes) = queue.removeFirst()
            val message = decodeWire<FleetMessage>(bytes)
            hubs[to]?.receive(from, message)
            entries.find { it.id == to }?.feed?.receive(from, message)
        }
    }

    private fun row(sequence: Long, state: BackendState = BackendState.READY) = BackendRow(
        ID,
        Incarnation(1),
        sequence,
        ServiceName("e"),
        Address("10.0.0.9", 1),
        DataCentreId("a"),
        state,
        ServerKind.DECODE,
        128,
    )

    private companion object {
        val ID = ServerId("s")
        const val STEP_MS = 50L
    }
}
