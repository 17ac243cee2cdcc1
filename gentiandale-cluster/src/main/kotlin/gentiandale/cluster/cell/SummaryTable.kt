package gentiandale.cluster.cell

/** Latest summaries of the cells of the region, piggybacked on pings and acks. */
internal class SummaryTable {
    private val summaries = LinkedHashMap<CellId, CellSummary>()
    private val publishedMs = HashMap<CellId, Long>()

    fun all(): Map<CellId, CellSummary> = summaries.toMap()

    /** Publishes a summary of a cell that this VM owns, at most one in [MIN_PUBLISH_INTERVAL_MS] milliseconds. */
    fun publish(summary: CellSummary, now: Long) {
        val last = publishedMs[summary.cell]
        if (last != null && now - last < MIN_PUBLISH_INTERVAL_MS) return
        publishedMs[summary.cell] = now
        val sequence = maxOf(now, (summaries[summary.cell]?.sequence ?: 0) + 1)
        putLast(summary.copy(sequence = sequence))
    }

    /** Merges those of the [received] summaries that are newer than the known ones. */
    fun merge(received: List<CellSummary>) {
        received.filter { it.sequence > (summaries[it.cell]?.sequence ?: -1) }.forEach(::putLast)
    }

    /** Returns the summaries that changed last, as many as fit into one datagram. */
    fun latest(): List<CellSummary> = summaries.values.toList().takeLast(MAX_PER_DATAGRAM)

    private fun putLast(summary: CellSummary) {
        summaries.remove(summary.cell)
        summaries[summary.cell] = summary
        if (summaries.size > MAX_CELLS) summaries.remove(summaries.keys.first())
    }

    private companion object {
        const val MIN_PUBLISH_INTERVAL_MS = 1_000L
        const val MAX_PER_DATAGRAM = 6
        const val MAX_CELLS = 1_024
    }
}
