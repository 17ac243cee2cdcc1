package gentiandale.daemon.forward

import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.ModelId
import gentiandale.core.ServerFacts
import gentiandale.core.VmId
import gentiandale.core.VmState

/** Owner chosen for a request: the VM that places requests on the servers of its model. */
internal sealed interface OwnerChoice {
    /** This VM is the owner. */
    data object Local : OwnerChoice

    /** Another VM, [vm], is the owner. */
    data class Remote(val vm: VmId) : OwnerChoice

    /** No owner can be reached. */
    data object Unreachable : OwnerChoice
}

/** Finds the VM that places requests on the servers of a model. */
internal interface OwnerLookup {
    /** Returns the owner for [model] among the VMs that are not [excluded]. */
    fun ownerOf(model: ModelId, excluded: Set<VmId>): OwnerChoice

    /** Returns whether this VM may place requests on the server with [facts], as its owner or in place of its owner. */
    fun mayPlaceOn(facts: ServerFacts): Boolean
}

/** [OwnerLookup] that picks the lowest name among [peers] and [self], skipping VMs known not to be alive. */
internal class LowestVmOwnerLookup(
    private val self: VmId,
    private val peers: Set<VmId>,
    private val board: Blackboard,
) : OwnerLookup {
    override fun ownerOf(model: ModelId, excluded: Set<VmId>): OwnerChoice {
        val vms = board[Board.VMS]
        val eligible = (peers + self).filter { it !in excluded && isEligible(vms[it]?.state) }
        val candidates = if (board[Board.DRAINING]) eligible.filter { it != self }.ifEmpty { eligible } else eligible
        val owner = candidates.minOrNull()
        return when (owner) {
            null -> OwnerChoice.Unreachable
            self -> OwnerChoice.Local
            else -> OwnerChoice.Remote(owner)
        }
    }

    override fun mayPlaceOn(facts: ServerFacts): Boolean = true

    private fun isEligible(state: VmState?) = state == null || state == VmState.ALIVE
}
