package gentiandale.daemon.request

import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.RankId
import gentiandale.core.RankRecord
import gentiandale.core.recognisedRecords

/** Orders of the ranks in the current configuration, computed once for each of its revisions. */
internal class RankOrders(private val board: Blackboard) {
    private class CachedOrders(val revision: Long, val orders: Map<RankId, Int>)

    @Volatile private var cached = CachedOrders(revision = -1, emptyMap())

    /** Whether the configuration has rank records. */
    val hasRanks: Boolean get() = orders().isNotEmpty()

    /** Returns the order of [rank], where 0 is the most urgent, or null if it has no record. */
    fun of(rank: RankId): Int? = orders()[rank]

    private fun orders(): Map<RankId, Int> {
        val configuration = board[Board.CONFIGURATION].configuration
        if (configuration.revision != cached.revision) {
            val ranks = configuration.recognisedRecords().filterIsInstance<RankRecord>()
            cached = CachedOrders(configuration.revision, ranks.associate { it.rank to it.order })
        }
        return cached.orders
    }
}
