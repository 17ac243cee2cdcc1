package gentiandale.state.raft

import gentiandale.core.VmId

/**
 * Decides when a new group is bootstrapped. Only the first of the [initial] voters by name does so, and only after
 * every other initial voter has replied to its current data folder that it has never been in a group. A VM that lost
 * its disk gets a reply that names the existing group or lacks a reply, so it never bootstraps a second group.
 */
internal class GroupBootstrap(private val self: Member, private val initial: List<VmId>) {
    private val repliedMembers = HashMap<VmId, Member>()
    private var groupExists = false

    /** Records [reply] if it answers a hello message from this member's data folder. */
    fun onReply(reply: AgreementMessage.HelloReply) {
        if (reply.to != self.voter) return
        if (reply.group != null) groupExists = true
        repliedMembers[reply.member.vm] = reply.member
    }

    /** Returns the members of the group to bootstrap now, or null if this member must not bootstrap one. */
    fun founders(): List<Member>? {
        if (groupExists || self.vm != initial.minOrNull()) return null
        val others = initial.filter { it != self.vm }.map { repliedMembers[it] ?: return null }
        return listOf(self) + others
    }
}
