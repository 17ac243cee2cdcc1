package gentiandale.state.raft

/**
 * Replaces voters without an operator: a voter that has been silent gives way to a VM with a data folder that is
 * there, and voters are added up to [target]. The replacement goes through the log, one voter at a time, so a voter
 * that is merely cut off can do no harm by coming back.
 *
 * @param target number of voters to have.
 * @param silenceMs silence in milliseconds after which a voter is replaced.
 * @param presentMs time in milliseconds for which a newcomer counts as present after it said so.
 */
public data class AutomaticVoters(
    val target: Int,
    val silenceMs: Long = 2_500,
    val presentMs: Long = 1_500,
) {
    /**
     * Returns what to change next, or null.
     *
     * @param seen members that have said lately that they are there.
     * @param silence time in milliseconds for which a member has not answered the leader [self].
     */
    internal fun wish(
        membership: Membership,
        self: Member,
        seen: Collection<Member>,
        silence: (Member) -> Long,
    ): VoterWish? {
        val newcomer = seen.filter { member -> membership.all.none { it.vm == member.vm } }.minByOrNull { it.vm }
        val silent = membership.voters.filter { it.voter != self.voter && silence(it) > silenceMs }.maxByOrNull(silence)
        val add = newcomer?.vm.takeIf { membership.voters.size < target || silent != null }
        val surplus = membership.voters.size > target
        val remove = silent?.vm.takeIf { surplus || (add != null && membership.voters.size >= target) }
        return if (add == null && remove == null) null else VoterWish(add, remove)
    }
}
