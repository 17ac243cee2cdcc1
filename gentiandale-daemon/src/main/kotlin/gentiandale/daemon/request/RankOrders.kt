package gentiandale.daemon.request

import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.RankId
import gentiandale.core.RankRecord
import gentiandale.core.recognisedRecords

/** Orders of the ranks in force, computed once for each revision of the configuration. */
internal class RankOrders(private val board: Blackboard) {
    private class Known(val revision: Long, val orders: Map<RankId, Int>)

    @Volatile private var known = Known(revision = -1, emptyMap())

    /** Whether there are rank records. */
    val areSet: Boolean get() = orders().isNotEmpty()

    /** Returns the order of [rank], 0 being the most urgent, or null if it has no record. */
    fun of(rank: RankId): Int? = orders()[rank]

    private fun orders(): Map<RankId, Int> {
        val configuration = board[Board.CONFIGURATION].configuration
        if (configuration.revision != known.revision) {
            val ranks = configuration.recognisedRecords().filterIsInstance<RankRecord>()
            known = Known(configuration.revision, ranks.associate { it.rank to it.order })
        }
        return known.orders
    }
}
