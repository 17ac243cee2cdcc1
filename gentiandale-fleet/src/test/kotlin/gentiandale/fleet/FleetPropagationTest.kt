package gentiandale.fleet

import gentiandale.core.Incarnation
import gentiandale.core.ServerKind
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ReadSpeed
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import gentiandale.state.Document
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Propagation of state between control VMs and entry VMs, in virtual time and with links that can be cut. */
class FleetPropagationTest : VirtualFleet() {
    @Nested
    inner class ServerTable {
        @Test
        fun `a server state change reaches every entry VM without waiting for the next tick`() {
            advance(2_000)
            hubs.getValue(controls[3]).onHeartbeat(row(sequence = 1))
            advance(100)
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 2, state = BackendState.LEAVING))
            deliver()
            assertEquals(List(3) { BackendState.LEAVING }, entries.map { it.table[SERVER]?.state })
        }

        @Test
        fun `a partitioned entry VM receives missed server changes after the partition heals`() {
            advance(2_000)
            controls.forEach { cut += setOf(it, entries[0].id) }
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 1))
            advance(3_000)
            assertEquals(null, entries[0].table[SERVER])
            cut.clear()
            advance(2_500)
            assertEquals(BackendState.READY, entries[0].table[SERVER]?.state)
        }

        @Test
        fun `a server is not marked silent while another control VM still receives its heartbeats`() {
            advance(1_000)
            controls.drop(1).forEach { cut += setOf(controls[0], it) }
            repeat(20) {
                hubs.getValue(controls[1]).onHeartbeat(row(sequence = it + 1L))
                advance(1_000)
            }
            advance(3_000)
            assertEquals(List(3) { false }, entries.map { it.table[SERVER]?.silent })
        }
    }

    @Nested
    inner class EntryVms {
        @Test
        fun `are not taken for fewer after a restart of a control VM`() {
            advance(3_000)
            entries.forEach { it.entryCounts.clear() }
            hubs[controls[1]] = ControlHub(controls[1], clock, sender(controls[1]), EventLog.NONE, silenceMs = 4_800)
                .also { it.setSeeds(controls.take(3).toSet()) }
            advance(3_000)
            assertEquals(List(3) { setOf(3) }, entries.map { it.entryCounts.toSet() })
        }

        @Test
        fun `are counted again after some have ended`() {
            advance(3_000)
            controls.forEach { cut += setOf(it, entries[2].id) }
            advance(20_000)
            assertEquals(2, entries[0].entryCounts.last())
        }
    }

    @Nested
    inner class Speeds {
        private fun speed(tokensPerMs: Double, samples: Int) =
            ReadSpeed(ServiceName("e"), ServerKind.PREFILL, tokensPerMs, samples)

        @Test
        fun `observed by one entry VM are known to all, whichever control VM they reach`() {
            entries[0].readSpeeds = listOf(speed(31.0, 4))
            controls.drop(1).forEach { cut += setOf(it, entries[2].id) }
            advance(5_000)
            assertEquals(List(3) { listOf(speed(31.0, 4)) }, entries.map { it.sharedSpeeds })
        }

        @Test
        fun `are the median of all samples, so that one wrong VM has little weight`() {
            entries[0].readSpeeds = listOf(speed(3.0, 2))
            entries[1].readSpeeds = listOf(speed(31.0, 9))
            entries[2].readSpeeds = listOf(speed(33.0, 8))
            advance(5_000)
            assertEquals(listOf(speed(31.0, 19)), entries[0].sharedSpeeds)
        }
    }

    @Nested
    inner class Departure {
        @Test
        fun `told to one entry VM reaches all and outlasts later heartbeats`() {
            advance(2_000)
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 1))
            advance(100)
            entries[0].subscriber.reportServer(row(sequence = 1).copy(departing = true))
            deliver()
            assertEquals(List(3) { false }, entries.map { it.table[SERVER]?.acceptsWork })
            hubs.getValue(controls[1]).onHeartbeat(row(sequence = 2))
            advance(3_000)
            assertEquals(List(3) { false }, entries.map { it.table[SERVER]?.acceptsWork })
        }

        @Test
        fun `is known to a control VM that was started again`() {
            advance(2_000)
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 1))
            entries[0].subscriber.reportServer(row(sequence = 1).copy(departing = true))
            advance(100)
            val restarted = ControlHub(controls[0], clock, sender(controls[0]), EventLog.NONE, silenceMs = 4_800)
            restarted.setSeeds(controls.take(3).toSet())
            hubs[controls[0]] = restarted
            restarted.onHeartbeat(row(sequence = 2))
            advance(3_000)
            assertEquals(true, restarted.find(SERVER)?.departing)
            assertEquals(List(3) { false }, entries.map { it.table[SERVER]?.acceptsWork })
        }

        @Test
        fun `does not hold for the next incarnation`() {
            advance(2_000)
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 1).copy(departing = true))
            advance(100)
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 1).copy(incarnation = Incarnation(2)))
            advance(100)
            assertEquals(List(3) { true }, entries.map { it.table[SERVER]?.acceptsWork })
        }

        @Test
        fun `in an answer to a control VM reaches the entry VMs`() {
            advance(2_000)
            hubs.getValue(controls[0]).onHeartbeat(row(sequence = 1))
            advance(100)
            hubs.getValue(controls[0]).onDeparting(SERVER)
            deliver()
            assertEquals(List(3) { false }, entries.map { it.table[SERVER]?.acceptsWork })
        }
    }

    @Nested
    inner class Configuration {
        @Test
        fun `a new configuration version reaches an entry VM that can reach only one control VM`() {
            advance(2_000)
            controls.drop(1).forEach { cut += setOf(it, entries[1].id) }
            hubs.getValue(controls[2]).onDocument(Document(9, ByteArray(3)))
            advance(1_500)
            assertEquals(listOf(9L, 9L, 9L), entries.map { it.version })
        }
    }

    @Nested
    inner class Load {
        @Test
        fun `each entry VM receives the summed load of the others`() {
            advance(2_000)
            entries[0].localLoad = listOf(AssignedLoad(SERVER, running = 2, memoryTokens = 12_000))
            entries[1].localLoad = listOf(AssignedLoad(SERVER, running = 1, memoryTokens = 7_000))
            entries.forEach { it.subscriber.reportLoad() }
            advance(100)
            assertEquals(listOf(7_000L, 12_000L, 19_000L), entries.map { it.peerLoads[SERVER]?.memoryTokens })
        }

        @Test
        fun `of two concurrent load confirmations the second one includes the load of the first`() {
            advance(2_000)
            val seen = ArrayList<Long?>()
            entries.take(2).forEach { entry ->
                entry.localLoad = listOf(AssignedLoad(SERVER, running = 1, memoryTokens = 7_000))
                entry.subscriber.confirmLoad { seen += entry.peerLoads[SERVER]?.memoryTokens }
            }
            assertEquals(emptyList(), seen)
            deliver()
            assertEquals(listOf(null, 7_000L), seen)
        }

        @Test
        fun `a load confirmation completes at once if no control VM was reachable so far`() {
            var isDone = false
            entries[0].subscriber.confirmLoad { isDone = true }
            assertEquals(true, isDone)
        }

        @Test
        fun `the load of an unreachable entry VM is removed after the timeout`() {
            advance(2_000)
            entries[0].localLoad = listOf(AssignedLoad(SERVER, running = 2, memoryTokens = 12_000))
            advance(1_000)
            controls.forEach { cut += setOf(it, entries[0].id) }
            advance(5_000)
            assertEquals(0, entries[1].peerLoads[SERVER]?.memoryTokens)
        }
    }
}
