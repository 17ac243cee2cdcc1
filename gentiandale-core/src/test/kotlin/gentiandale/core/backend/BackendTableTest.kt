package gentiandale.core.backend

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BackendTableTest {
    private val table = BackendTable()

    @Nested
    inner class HeartbeatsOfOneIncarnation {
        @Test
        fun `a later heartbeat replaces an earlier one, but an earlier one does not replace a later one`() {
            table.merge(row(sequence = 2, state = BackendState.LEAVING))
            assertEquals(emptyList(), table.merge(row(sequence = 1)))
            assertEquals(BackendState.LEAVING, table[ID]?.state)
        }

        @Test
        fun `a heartbeat that differs only in its sequence number reports no change`() {
            table.merge(row(sequence = 1))
            assertEquals(emptyList(), table.merge(row(sequence = 2)))
        }

        @Test
        fun `delayed heartbeats do not revive a server that has shut down`() {
            table.merge(row(sequence = 5))
            table.merge(row(sequence = 5, state = BackendState.GONE))
            table.merge(row(sequence = 9))
            assertEquals(BackendState.GONE, table[ID]?.state)
        }

        @Test
        fun `a heartbeat clears the silent mark set by another VM with the same sequence number`() {
            table.merge(row(sequence = 5, silent = true))
            assertEquals(1, table.merge(row(sequence = 5)).size)
            assertEquals(emptyList(), table.merge(row(sequence = 5, silent = true)))
        }
    }

    @Nested
    inner class RestartsAndAddressReuse {
        @Test
        fun `a later incarnation wins although its sequence numbers start again`() {
            table.merge(row(sequence = 90))
            table.merge(row(sequence = 90, state = BackendState.GONE))
            table.merge(row(incarnation = 2, sequence = 1))
            assertEquals(BackendState.READY, table[ID]?.state)
        }

        @Test
        fun `an address that is reused belongs to the later server`() {
            table.merge(row(sequence = 3))
            val changed = table.merge(row(id = ServerId("b"), incarnation = 7, sequence = 1))
            assertEquals(listOf(BackendState.GONE, BackendState.READY), changed.map { it.state })
        }

        @Test
        fun `a delayed heartbeat of the previous server does not take the address back`() {
            table.merge(row(id = ServerId("b"), incarnation = 7, sequence = 1))
            assertEquals(emptyList(), table.merge(row(incarnation = 1, sequence = 4)))
        }
    }

    @Nested
    inner class AnyOrder {
        @Test
        fun `the same rows in any order give the same digest`() {
            val rows = (1L..4L).flatMap { start ->
                (1L..3L).map { row(incarnation = start, sequence = it, state = BackendState.entries[(it % 3).toInt()]) }
            }
            val digests = (1..50).map { seed ->
                BackendTable().also { merged -> rows.shuffled(Random(seed)).forEach(merged::merge) }.digest()
            }
            assertTrue(digests.all { it == digests.first() })
        }
    }

    private fun row(
        id: ServerId = ID,
        incarnation: Long = 1,
        sequence: Long,
        state: BackendState = BackendState.READY,
        silent: Boolean = false,
    ) = BackendRow(
        id = id,
        incarnation = Incarnation(incarnation),
        sequence = sequence,
        service = ServiceName("notes"),
        address = Address("10.0.0.1", 80),
        dataCentre = DataCentreId("a"),
        state = state,
        kind = ServerKind.PLAIN,
        places = 4,
        silent = silent,
    )

    private companion object {
        val ID = ServerId("a")
    }
}
