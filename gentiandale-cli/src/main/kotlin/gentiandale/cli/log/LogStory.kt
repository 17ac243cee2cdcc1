package gentiandale.cli.log

/** What the log lines of one or many processes tell, by time. */
internal class LogStory(lines: Sequence<String>) {
    private val records = lines.mapNotNull(LogRecord::read).sortedBy { it.timeMs }.toList()

    /** What the lines tell second by second. */
    val timeline: LogTimeline get() = LogTimeline(records)

    /**
     * Returns the lines of the request [id], and before each of them what its VM believed of the server that is named
     * in it.
     */
    fun ofRequest(id: String): List<LogRecord> {
        val own = records.filter { it.request == id }
        val beliefs = own.mapNotNull { line -> line.text("server")?.let { lastBelief(line, it) } }
        return (beliefs + own).distinct().sortedBy { it.timeMs }
    }

    /** Returns the lines between [fromMs] and [toMs] that tell of no single request. */
    fun changes(fromMs: Long, toMs: Long): List<LogRecord> =
        records.filter { it.timeMs in fromMs..toMs && it.request == null && it.event != ENDED }

    /** Returns how requests ended between [fromMs] and [toMs]: outcome, reason without numbers, and count. */
    fun endings(fromMs: Long, toMs: Long): List<Triple<String, String, Int>> = records
        .filter { it.timeMs in fromMs..toMs && it.event == ENDED }
        .groupingBy { it.text("outcome").orEmpty() to it.text("reason").orEmpty().replace(NUMBER, "N") }
        .eachCount()
        .map { (key, count) -> Triple(key.first, key.second, count) }
        .sortedByDescending { it.third }

    private fun lastBelief(line: LogRecord, server: String): LogRecord? = records.lastOrNull {
        it.vm == line.vm && it.event == SERVER && it.text("server") == server && it.timeMs <= line.timeMs
    }

    private companion object {
        const val ENDED = "relay/ended"
        const val SERVER = "fleet/server"
        val NUMBER = Regex("\\d+")
    }
}
