package gentiandale.fleet

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against servers that are used again after the VMs that acknowledged their departure were killed. */
class DepartureRecoveryTest : VirtualFleet() {
    private fun row(state: BackendState, sequence: Long, born: Long = 5) = BackendRow(
        id = ServerId("i-1"),
        incarnation = Incarnation(born),
        sequence = sequence,
        service = ServiceName("app"),
        address = Address("10.1.0.1", 80),
        dataCentre = DataCentreId("a"),
        state = state,
        kind = ServerKind.PLAIN,
        places = 6,
    )

    private fun restartAll() {
        controls.forEach { id ->
            hubs[id] = ControlHub(id, clock, sender(id), EventLog.NONE, silenceMs = 4_800, isRecovering = true).also {
                it.setSeeds(controls.take(3).toSet())
            }
        }
        entries.indices.forEach { entries[it] = newEntry(entries[it].id) }
    }

    private fun known() = entries.map { it.table[ServerId("i-1")] }

    @Nested
    inner class Restart {
        @Test
        fun `holds a heartbeat back until the recorded departures are known`() {
            restartAll()
            val hub = hubs.getValue(controls[0])
            assertTrue(hub.onHeartbeat(row(BackendState.READY, 1)))
            advance(2_000)
            assertTrue(known().all { it == null })
            hub.onDeparturesComplete()
            advance(1_500)
            assertTrue(known().all { it?.acceptsWork == true })
        }

        @Test
        fun `ignores a late heartbeat of a server whose departure is recorded`() {
            for (state in listOf(BackendState.GONE, BackendState.LEAVING)) {
                restartAll()
                val hub = hubs.getValue(controls[0])
                hub.onHeartbeat(row(BackendState.READY, 9))
                hub.onDepartures(listOf(row(state, 10)))
                hub.onDeparturesComplete()
                hub.onHeartbeat(row(BackendState.READY, 8))
                advance(3_000)
                assertTrue(known().none { it?.acceptsWork == true }, "$state: ${known()}")
            }
        }

        @Test
        fun `uses a server that has started again under the same id`() {
            restartAll()
            val hub = hubs.getValue(controls[0])
            hub.onDepartures(listOf(row(BackendState.GONE, 10)))
            hub.onDeparturesComplete()
            hub.onHeartbeat(row(BackendState.READY, 1, born = 6))
            advance(3_000)
            assertTrue(known().all { it?.acceptsWork == true })
        }

        @Test
        fun `sends servers elsewhere when it does not learn the departures in time`() {
            restartAll()
            advance(6_000)
            assertFalse(hubs.getValue(controls[0]).onHeartbeat(row(BackendState.READY, 1)))
        }
    }

    @Nested
    inner class Acknowledgement {
        private val hub get() = hubs.getValue(controls[0])

        @Test
        fun `tells entry VMs of a departure that only the store has learned`() {
            advance(3_000)
            controls.forEach { hubs.getValue(it).onHeartbeat(row(BackendState.READY, 1)) }
            advance(1_000)
            hubs.getValue(controls[1]).onDepartures(listOf(row(BackendState.GONE, 1)))
            advance(2_000)
            assertEquals(List(entries.size) { BackendState.GONE }, known().map { it?.state })
        }

        @Test
        fun `is due only once the departure is recorded for this start of the server`() {
            assertFalse(hub.isRecorded(row(BackendState.LEAVING, 3)))
            hub.onDepartures(listOf(row(BackendState.LEAVING, 3)))
            assertTrue(hub.isRecorded(row(BackendState.LEAVING, 4)))
            assertFalse(hub.isRecorded(row(BackendState.GONE, 4)))
            assertFalse(hub.isRecorded(row(BackendState.LEAVING, 1, born = 6)))
            hub.onHeartbeat(row(BackendState.READY, 5))
            assertFalse(hub.isRecorded(row(BackendState.LEAVING, 6)))
            assertNull(hub.find(ServerId("i-2")))
        }

        @Test
        fun `is not due while a later start of the server takes work`() {
            hub.onHeartbeat(row(BackendState.READY, 1, born = 6))
            hub.onHeartbeat(row(BackendState.LEAVING, 2, born = 5))
            assertFalse(hub.isInForce(row(BackendState.LEAVING, 2, born = 5)))
            hub.onHeartbeat(row(BackendState.LEAVING, 2, born = 6))
            assertTrue(hub.isInForce(row(BackendState.LEAVING, 2, born = 6)))
        }
    }
}
