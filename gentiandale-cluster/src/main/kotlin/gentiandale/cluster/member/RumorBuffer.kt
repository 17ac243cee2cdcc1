package gentiandale.cluster.member

import gentiandale.cluster.ClusterTimes
import gentiandale.cluster.directory.ServerRow
import gentiandale.core.ServerId
import gentiandale.core.VmId
import kotlin.random.Random

/** Rows that are sent in one datagram. */
internal class RumorBatch(val members: List<MemberRow>, val servers: List<ServerRow>)

/** Changed rows that are gossiped for a bounded number of rounds. A newer row replaces the older one of the same id. */
internal class RumorBuffer(private val times: ClusterTimes, private val random: Random) {
    private class Rumor<T>(val row: T, var roundsLeft: Int)

    private val members = LinkedHashMap<VmId, Rumor<MemberRow>>()
    private val servers = LinkedHashMap<ServerId, Rumor<ServerRow>>()
    private val targetQueue = ArrayDeque<VmId>()
    private var nextRoundMs = 0L

    val isEmpty: Boolean get() = members.isEmpty() && servers.isEmpty()

    fun add(row: MemberRow, memberCount: Int) {
        members[row.vm] = Rumor(row, times.rumorRounds(memberCount))
        nextRoundMs = 0
    }

    fun add(row: ServerRow, memberCount: Int) {
        servers[row.server] = Rumor(row, times.rumorRounds(memberCount))
        nextRoundMs = 0
    }

    /** Returns the VMs to gossip to if a round is due, otherwise an empty list. */
    fun dueTargets(now: Long, peers: List<MemberRow>): List<MemberRow> {
        if (isEmpty || now < nextRoundMs) return emptyList()
        nextRoundMs = now + times.rumorPeriodMs
        return selectTargets(peers)
    }

    /** Returns the rows of this round, those sent least often first, and uses up one round of each. */
    fun batches(): List<RumorBatch> {
        val memberRows = members.values.sortedByDescending { it.roundsLeft }
            .take(
                MAX_ROWS * MAX_BATCHES,
            )
        val serverRows = servers.values.sortedByDescending { it.roundsLeft }
            .take(
                MAX_ROWS * MAX_BATCHES - memberRows.size,
            )
        memberRows.forEach { if (--it.roundsLeft == 0) members.remove(it.row.vm) }
        serverRows.forEach { if (--it.roundsLeft == 0) servers.remove(it.row.server) }
        return memberRows.chunked(MAX_ROWS) { rows -> RumorBatch(rows.map { it.row }, emptyList()) } +
            serverRows.chunked(MAX_ROWS) { rows -> RumorBatch(emptyList(), rows.map { it.row }) }
    }

    private fun selectTargets(peers: List<MemberRow>): List<MemberRow> {
        if (peers.size <= times.fanout) return peers
        val byId = peers.associateBy { it.vm }
        val selected = LinkedHashMap<VmId, MemberRow>()
        while (selected.size < times.fanout) {
            if (targetQueue.isEmpty()) targetQueue += peers.map { it.vm }.shuffled(random)
            val next = targetQueue.removeFirst()
            byId[next]?.let { selected[next] = it }
        }
        return selected.values.toList()
    }

    private companion object {
        /** Rows in one datagram, which keep it below the usual MTU of 1,500 bytes. */
        const val MAX_ROWS = 4
        const val MAX_BATCHES = 8
    }
}
