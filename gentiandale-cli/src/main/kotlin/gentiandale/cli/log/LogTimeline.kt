package gentiandale.cli.log

/** Line of a [Plot]: one value for each second, null where nothing is known. */
internal data class PlotLine(val name: String, val values: List<Double?>)

/** Values over the same seconds in one [unit]. */
internal data class Plot(val title: String, val unit: String, val lines: List<PlotLine>)

/** What changed at [second], in words. */
internal data class Change(val second: Int, val vm: String, val event: String, val detail: String)

/** What log lines tell second by second, counted from the first line at [startMs]. */
internal class LogTimeline(private val records: List<LogRecord>) {
    /** Time of the first line in milliseconds since the epoch. */
    val startMs: Long = records.minOfOrNull { it.timeMs } ?: 0

    /** Seconds that the lines span. */
    val seconds: Int = records.maxOfOrNull { secondOf(it.timeMs) + 1 } ?: 0

    private val endings = records.filter { it.event == ENDED }

    /** Plots of requests, first parts of answers, configuration and backend servers. */
    val plots: List<Plot> get() = listOf(requests(), firstParts(), versions(), servers())

    /** Starts, stops, lost and regained control VMs and orders, by time. */
    val changes: List<Change>
        get() = records.filter { it.event in TOLD }.map { Change(secondOf(it.timeMs), it.vm, it.event, it.detail()) }

    private fun secondOf(timeMs: Long): Int = ((timeMs - startMs).coerceAtLeast(0) / MS_PER_S).toInt()

    private fun requests(): Plot {
        val arrivals = count(endings) { it.timeMs - (it.number("elapsed_ms") ?: 0) }
        val byOutcome = OUTCOMES.map { (name, outcomes) ->
            PlotLine(name, count(endings.filter { it.text("outcome") in outcomes }) { it.timeMs })
        }
        return Plot("Requests", "a second", listOf(PlotLine("arrived", arrivals)) + byOutcome)
    }

    private fun count(lines: List<LogRecord>, timeMs: (LogRecord) -> Long): List<Double> {
        val counts = lines.groupingBy { secondOf(timeMs(it)) }.eachCount()
        return List(seconds) { (counts[it] ?: 0).toDouble() }
    }

    private fun firstParts(): Plot {
        val bySecond = endings
            .mapNotNull { line -> line.number("first_ms")?.let { secondOf(line.timeMs) to it } }
            .groupBy({ it.first }, { it.second })
        val lines = QUANTILES.map { (name, share) ->
            PlotLine(name, List(seconds) { second -> bySecond[second]?.quantile(share) })
        }
        return Plot("Time to the first part of an answer", "ms", lines)
    }

    private fun List<Long>.quantile(share: Double): Double = sorted()[((size - 1) * share).toInt()].toDouble()

    /** A VM keeps its version until it tells another one; its start makes it forget. */
    private fun versions(): Plot {
        val inForce = HashMap<String, Double>()
        val ends = eachSecond(VERSION_EVENTS, { inForce.values.minOrNull() to inForce.values.maxOrNull() }) { line ->
            if (line.event == START) inForce -= line.vm
            line.number("version")?.let { inForce[line.vm] = it.toDouble() }
        }
        val lines = listOf(PlotLine("lowest", ends.map { it.first }), PlotLine("highest", ends.map { it.second }))
        return Plot("Configuration in force on the entry VMs", "version", lines)
    }

    /** The newest line of any VM counts for a server. */
    private fun servers(): Plot {
        val states = HashMap<String, String>()
        val ends = eachSecond(setOf(SERVER), { states.values.groupingBy { it }.eachCount() }) { line ->
            val state = if (line.text("silent") == "true") SILENT else line.text("state").orEmpty()
            line.text("server")?.let { states[it] = state }
        }
        val lines = STATES.map { state -> PlotLine(state, ends.map { (it[state] ?: 0).toDouble() }) }
        return Plot("Backend servers", "servers", lines)
    }

    /** Hands the lines of [events] to [take] by time and returns what [read] gives at the end of each second. */
    private fun <T> eachSecond(events: Set<String>, read: () -> T, take: (LogRecord) -> Unit): List<T> {
        val bySecond = records.filter { it.event in events }.groupBy { secondOf(it.timeMs) }
        return List(seconds) { second ->
            bySecond[second].orEmpty().forEach(take)
            read()
        }
    }

    private fun LogRecord.number(name: String): Long? = text(name)?.toLongOrNull()

    private companion object {
        const val MS_PER_S = 1_000
        const val ENDED = "relay/ended"
        const val SERVER = "fleet/server"
        const val START = "process/start"
        const val SILENT = "silent"
        val VERSION_EVENTS = setOf(START, "fleet/configuration")
        val STATES = listOf("ready", SILENT, "leaving", "gone")
        val QUANTILES = listOf("median" to 0.5, "95 %" to 0.95)
        val OUTCOMES = listOf(
            "answered" to setOf("answered"),
            "refused" to setOf("refused"),
            "failed or cut" to setOf("failed", "cut", "timed-out"),
            "caller left" to setOf("caller-left"),
        )
        val TOLD = setOf(
            START,
            "process/stopping",
            "process/reload",
            "fleet/control-lost",
            "fleet/control-heard",
            "fleet/stage-order",
            "fleet/store-failed",
            "log/dropped",
        )
    }
}
