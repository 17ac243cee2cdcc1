package gentiandale.cli.log

/** Log records of one or more processes in order of time, with queries over them. */
internal class LogAnalysis(lines: Sequence<String>) {
    private val records = lines.mapNotNull(LogRecord::read).sortedBy { it.timeMs }.toList()

    /** Aggregates of the records per second. */
    val timeline: LogTimeline get() = LogTimeline(records)

    /**
     * Returns the records of the request [id] in order of time. For each record that names a server, the result also
     * has the last state of that server that the same VM had logged before.
     */
    fun requestTrace(id: String): List<LogRecord> {
        val requestRecords = records.filter { it.request == id }
        val serverStates = requestRecords.mapNotNull { record ->
            record.text("server")?.let { lastServerState(record, it) }
        }
        return (serverStates + requestRecords).distinct().sortedBy { it.timeMs }
    }

    /** Returns the records between [fromMs] and [toMs] that belong to no single request. */
    fun changes(fromMs: Long, toMs: Long): List<LogRecord> =
        records.filter { it.timeMs in fromMs..toMs && it.request == null && it.event != ENDED }

    /** Counts the requests that ended between [fromMs] and [toMs] by outcome and reason, with numbers masked as N. */
    fun outcomes(fromMs: Long, toMs: Long): List<Triple<String, String, Int>> = records
        .filter { it.timeMs in fromMs..toMs && it.event == ENDED }
        .groupingBy { it.text("outcome").orEmpty() to it.text("reason").orEmpty().replace(NUMBER, "N") }
        .eachCount()
        .map { (key, count) -> Triple(key.first, key.second, count) }
        .sortedByDescending { it.third }

    private fun lastServerState(record: LogRecord, server: String): LogRecord? = records.lastOrNull {
        it.vm == record.vm && it.event == SERVER && it.text("server") == server && it.timeMs <= record.timeMs
    }

    private companion object {
        const val ENDED = "relay/ended"
        const val SERVER = "fleet/server"
        val NUMBER = Regex("\\d+")
    }
}
