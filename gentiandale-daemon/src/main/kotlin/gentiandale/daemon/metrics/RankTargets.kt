package gentiandale.daemon.metrics

import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.Configuration
import gentiandale.core.RankId
import gentiandale.core.RankRecord
import gentiandale.core.recognisedRecords

/** Latency targets of the ranks in the active configuration; cached until the configuration changes. */
internal class RankTargets(private val board: Blackboard) {
    private class CachedRanks(val configuration: Configuration, val ranks: Map<RankId, RankRecord>)

    @Volatile
    private var cached = CachedRanks(Configuration(), emptyMap())

    /** Returns the record of [rank], or one with default targets if the rank is not configured. */
    fun of(rank: RankId): RankRecord = current().ranks[rank] ?: RankRecord(rank, order = 0)

    /** Returns the label of [rank] in metrics. Unknown ranks share one label, since callers choose the names freely. */
    fun label(rank: RankId): String = if (rank in current().ranks || rank in DEFAULT_RANKS) rank.value else OTHER

    private fun current(): CachedRanks {
        val configuration = board[Board.CONFIGURATION].configuration
        val last = cached
        if (last.configuration === configuration) return last
        return CachedRanks(configuration, ranksIn(configuration)).also { cached = it }
    }

    private fun ranksIn(configuration: Configuration) =
        configuration.recognisedRecords().filterIsInstance<RankRecord>().associateBy { it.rank }

    private companion object {
        const val OTHER = "other"
        val DEFAULT_RANKS = setOf(RankId("urgent"), RankId("routine"))
    }
}
