package gentiandale.state.raft

import gentiandale.core.VmId

/**
 * Wish of an operator to replace a voter.
 *
 * @param add VM that is to become a voter; null to add none.
 * @param remove VM that is to be a voter no more; null to remove none.
 */
public data class VoterWish(val add: VmId?, val remove: VmId?)

/**
 * Members that may become voters.
 *
 * @param present members that have said that they are there and are no voters, by VM.
 * @param isCaughtUp whether a learner has everything that is committed.
 * @param isAbandoned whether a learner is silent and not waited for.
 */
internal class Candidates(
    val present: Map<VmId, Member>,
    val isCaughtUp: (Member) -> Boolean,
    val isAbandoned: (Member) -> Boolean = { false },
)

/**
 * Returns the next change of [membership], by one voter at most, or null if there is nothing to change. A VM that
 * came back with another data folder takes the place of its old self without a wish.
 *
 */
internal fun nextMembership(membership: Membership, candidates: Candidates, wish: VoterWish?): Membership? {
    val superseded = membership.voters.find { old -> membership.voters.last { it.vm == old.vm } != old }
    val ready = membership.learners.find(candidates.isCaughtUp)
    val abandoned = membership.learners.find(candidates.isAbandoned)
    val newcomer = candidates.present.values.find { it !in membership.all && isWanted(it.vm, membership, wish) }
    return when {
        superseded != null -> membership.copy(voters = membership.voters - superseded)
        ready != null -> Membership(membership.voters + ready, membership.learners - ready)
        abandoned != null -> membership.copy(learners = membership.learners - abandoned)
        newcomer != null -> membership.copy(learners = membership.learners.filter { it.vm != newcomer.vm } + newcomer)
        wish != null -> removal(membership, wish)
        else -> null
    }
}

/** Returns whether [membership] is as [wish] wants it. */
internal fun isFulfilled(membership: Membership, present: Map<VmId, Member>, wish: VoterWish): Boolean {
    val added = wish.add == null ||
        membership.voters.any { it.vm == wish.add && (present[it.vm] ?: it).voter == it.voter }
    val removed = wish.remove == null || wish.remove == wish.add || membership.voters.none { it.vm == wish.remove }
    return added && removed && membership.voters.distinctBy { it.vm }.size == membership.voters.size
}

private fun isWanted(vm: VmId, membership: Membership, wish: VoterWish?) =
    vm == wish?.add || membership.voters.any { it.vm == vm }

/** Removes the unwanted voter once the added one counts. */
private fun removal(membership: Membership, wish: VoterWish): Membership? {
    if (wish.remove == wish.add || (wish.add != null && membership.voters.none { it.vm == wish.add })) return null
    val unwanted = membership.voters.filter { it.vm == wish.remove }
    return if (unwanted.isEmpty()) null else membership.copy(voters = membership.voters - unwanted.first())
}
