package gentiandale.state.raft

import gentiandale.core.VmId

/**
 * Replacement of a voter, requested by an operator or by the [VoterReplacementPolicy].
 *
 * @param add VM to make a voter; null to add none.
 * @param remove VM to remove from the voters; null to remove none.
 */
public data class VoterReplacement(val add: VmId?, val remove: VmId?)

/**
 * Members that may become voters.
 *
 * @param announced members that have sent a hello message, by VM.
 * @param isCaughtUp whether a learner has all committed entries.
 * @param isAbandoned whether a learner has stopped answering and is to be removed.
 */
internal class VoterCandidates(
    val announced: Map<VmId, Member>,
    val isCaughtUp: (Member) -> Boolean,
    val isAbandoned: (Member) -> Boolean = { false },
)

/**
 * Returns the next [membership], which differs by one voter at most, or null if there is nothing to change. A VM that
 * came back with a new data folder replaces its former member without a [request].
 */
internal fun nextMembership(
    membership: Membership,
    candidates: VoterCandidates,
    request: VoterReplacement?,
): Membership? {
    val superseded = membership.voters.find { old -> membership.voters.last { it.vm == old.vm } != old }
    val ready = membership.learners.find(candidates.isCaughtUp)
    val abandoned = membership.learners.find(candidates.isAbandoned)
    val newcomer = candidates.announced.values.find { it !in membership.all && shouldJoin(it.vm, membership, request) }
    return when {
        superseded != null -> membership.copy(voters = membership.voters - superseded)
        ready != null -> Membership(membership.voters + ready, membership.learners - ready)
        abandoned != null -> membership.copy(learners = membership.learners - abandoned)
        newcomer != null -> membership.copy(learners = membership.learners.filter { it.vm != newcomer.vm } + newcomer)
        request != null -> removal(membership, request)
        else -> null
    }
}

/** Returns whether [membership] reflects [request], with one voter per VM and the data folders in [announced]. */
internal fun isComplete(membership: Membership, announced: Map<VmId, Member>, request: VoterReplacement): Boolean {
    val added = request.add == null ||
        membership.voters.any { it.vm == request.add && (announced[it.vm] ?: it).voter == it.voter }
    val removed = request.remove == null ||
        request.remove == request.add ||
        membership.voters.none { it.vm == request.remove }
    return added && removed && membership.voters.distinctBy { it.vm }.size == membership.voters.size
}

private fun shouldJoin(vm: VmId, membership: Membership, request: VoterReplacement?) =
    vm == request?.add || membership.voters.any { it.vm == vm }

/** Returns [current] without the voter that [change] removes, or null while the VM that it adds is not a voter yet. */
private fun removal(current: Membership, change: VoterReplacement): Membership? {
    if (change.remove == change.add || (change.add != null && current.voters.none { it.vm == change.add })) return null
    val removable = current.voters.filter { it.vm == change.remove }
    return if (removable.isEmpty()) null else current.copy(voters = current.voters - removable.first())
}
