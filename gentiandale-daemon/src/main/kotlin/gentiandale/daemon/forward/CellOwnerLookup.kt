package gentiandale.daemon.forward

import gentiandale.cluster.cell.CELLS
import gentiandale.cluster.cell.CELL_SUMMARIES
import gentiandale.cluster.cell.Cell
import gentiandale.cluster.cell.CellMap
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.ModelId
import gentiandale.core.RegionId
import gentiandale.core.ServerFacts
import gentiandale.core.VmId
import kotlin.random.Random

/**
 * [OwnerLookup] based on the [CellMap]. Of two random cells in this region it picks the one with more free places: VMs
 * that see the same outdated summaries would otherwise all pick the same cell. While the map is empty, [fallback] is
 * used.
 */
internal class CellOwnerLookup(
    private val self: VmId,
    private val region: RegionId,
    private val board: Blackboard,
    private val fallback: OwnerLookup,
    private val random: Random = Random.Default,
) : OwnerLookup {
    override fun ownerOf(model: ModelId, excluded: Set<VmId>): OwnerChoice {
        if (board[CELLS].cells.isEmpty()) return fallback.ownerOf(model, excluded)
        val ineligible = if (board[Board.DRAINING]) excluded + self else excluded
        val owner = pickOwner(board[CELLS], model, ineligible) ?: pickOwner(mapWithout(ineligible), model, ineligible)
        return when {
            owner == self -> OwnerChoice.Local
            owner != null -> OwnerChoice.Remote(owner)
            self !in excluded -> OwnerChoice.Local
            else -> OwnerChoice.Unreachable
        }
    }

    override fun mayPlaceOn(facts: ServerFacts): Boolean {
        val model = facts.model ?: return false
        return board[CELLS].cellsOf(model).size <= 1 || board[CELLS].cellOf(facts.server)?.owner == self
    }

    private fun pickOwner(cells: CellMap, model: ModelId, excluded: Set<VmId>): VmId? {
        val eligible = cells.cellsOf(model).filter { it.owner != null && it.owner !in excluded }
        val candidates = eligible.filter { it.region == region }.ifEmpty { eligible }
        if (candidates.isEmpty()) return null
        return listOf(candidates.random(random), candidates.random(random)).maxBy(::freePlaces).owner
    }

    private fun freePlaces(cell: Cell): Int = board[CELL_SUMMARIES][cell.id]?.freePlaces ?: cell.servers.size

    private fun mapWithout(excluded: Set<VmId>): CellMap =
        CellMap.of(board[Board.VMS].values.filter { it.vm !in excluded }, board[Board.SERVERS].values.map { it.facts })
}
