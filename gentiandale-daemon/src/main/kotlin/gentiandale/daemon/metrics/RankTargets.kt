package gentiandale.daemon.metrics

import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.Configuration
import gentiandale.core.RankId
import gentiandale.core.RankRecord
import gentiandale.core.recognisedRecords

/** Latency targets of the ranks in force, read again only when the configuration changes. */
internal class RankTargets(private val board: Blackboard) {
    private class Read(val of: Configuration, val ranks: Map<RankId, RankRecord>)

    @Volatile
    private var read = Read(Configuration(), emptyMap())

    /** Returns the record of [rank], with the default targets where there is none. */
    fun of(rank: RankId): RankRecord = current().ranks[rank] ?: RankRecord(rank, order = 0)

    /** Returns the label of [rank] for metrics; names that callers made up share one label. */
    fun label(rank: RankId): String = if (rank in current().ranks || rank in USUAL) rank.value else OTHER

    private fun current(): Read {
        val now = board[Board.CONFIGURATION].configuration
        val last = read
        if (last.of === now) return last
        return Read(now, ranksIn(now)).also { read = it }
    }

    private fun ranksIn(configuration: Configuration) =
        configuration.recognisedRecords().filterIsInstance<RankRecord>().associateBy { it.rank }

    private companion object {
        const val OTHER = "other"
        val USUAL = setOf(RankId("urgent"), RankId("routine"))
    }
}
