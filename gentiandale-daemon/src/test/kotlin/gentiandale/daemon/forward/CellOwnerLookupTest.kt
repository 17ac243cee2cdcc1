package gentiandale.daemon.forward

import gentiandale.cluster.cell.CELLS
import gentiandale.cluster.cell.CELL_SUMMARIES
import gentiandale.cluster.cell.CellMap
import gentiandale.cluster.cell.CellSummary
import gentiandale.core.Address
import gentiandale.core.Blackboard
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.KnownVm
import gentiandale.core.ModelId
import gentiandale.core.RegionId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CellOwnerLookupTest {
    private val model = ModelId("m")
    private val region = RegionId("r")
    private val dataCentre = DataCentreId("dc")
    private val board = Blackboard()
    private val cells = CellMap.of(List(8, ::vm), List(SERVERS, ::server))
    private val owners = CellOwnerLookup(VmId("elsewhere"), region, board, NoOwnerLookup, Random(1))

    init {
        board[CELLS] = cells
    }

    private fun vm(n: Int) = KnownVm(
        VmId("vm-$n"),
        dataCentre,
        region,
        Address("127.0.0.1", 1),
        Address("127.0.0.1", 2),
    )

    private fun server(n: Int) = ServerFacts(
        server = ServerId("server-$n"),
        incarnation = Incarnation(1),
        address = Address("127.0.0.1", 1),
        dataCentre = dataCentre,
        kind = ServerKind.DECODE,
        model = model,
        places = 20,
    )

    private fun ownerCounts() = List(CALLS) { owners.ownerOf(model, emptySet()) }.groupingBy { it }.eachCount()

    private object NoOwnerLookup : OwnerLookup {
        override fun ownerOf(model: ModelId, excluded: Set<VmId>) = OwnerChoice.Unreachable

        override fun mayPlaceOn(facts: ServerFacts) = false
    }

    @Nested
    inner class SeveralCells {
        @Test
        fun `all get requests while no summaries are known`() {
            val all = cells.cellsOf(model).mapNotNull { it.owner }.toSet()
            assertTrue(all.size > 1, "All cells have the same owner.")
            assertEquals(all.mapTo(mutableSetOf()) { OwnerChoice.Remote(it) }, ownerCounts().keys)
        }

        @Test
        fun `without free places get fewer requests than an even share, but not none`() {
            val busy = cells.cellsOf(model).first()
            board[CELL_SUMMARIES] = mapOf(busy.id to CellSummary(busy.id, freePlaces = 0, backlogMs = 500))
            val toBusy = ownerCounts()[OwnerChoice.Remote(checkNotNull(busy.owner))] ?: 0
            assertTrue(toBusy in 1 until CALLS / cells.cells.size, "$toBusy of $CALLS")
        }
    }

    private companion object {
        const val SERVERS = 200
        const val CALLS = 400
    }
}
