package gentiandale.state.raft

/**
 * Policy for replacing voters without an operator: a voter that has stopped answering is replaced by an available VM
 * with a data folder, and voters are added up to [target]. Each replacement is a log entry that changes one voter, so
 * a voter that was only partitioned cannot break consistency when it returns.
 *
 * @param target desired number of voters.
 * @param voterTimeoutMs time in milliseconds without a reply after which a voter is replaced.
 * @param helloLifetimeMs time in milliseconds for which a VM counts as available after a hello message.
 */
public data class VoterReplacementPolicy(
    val target: Int,
    val voterTimeoutMs: Long = 2_500,
    val helloLifetimeMs: Long = 1_500,
) {
    /**
     * Returns the next replacement, or null if none is needed.
     *
     * @param seen members that have sent a hello message within [helloLifetimeMs].
     * @param sinceReplyMs returns the milliseconds since the last reply of a member to the leader [self].
     */
    internal fun next(
        membership: Membership,
        self: Member,
        seen: Collection<Member>,
        sinceReplyMs: (Member) -> Long,
    ): VoterReplacement? {
        val newcomer = seen.filter { member -> membership.all.none { it.vm == member.vm } }.minByOrNull { it.vm }
        val unresponsive = membership.voters
            .filter { it.voter != self.voter && sinceReplyMs(it) > voterTimeoutMs }
            .maxByOrNull(sinceReplyMs)
        val add = newcomer?.vm.takeIf { membership.voters.size < target || unresponsive != null }
        val surplus = membership.voters.size > target
        val remove = unresponsive?.vm.takeIf { surplus || (add != null && membership.voters.size >= target) }
        return if (add == null && remove == null) null else VoterReplacement(add, remove)
    }
}
