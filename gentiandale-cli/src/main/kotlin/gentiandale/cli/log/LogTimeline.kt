package gentiandale.cli.log

/** Series of a [Plot] with one value per second, null where there is no data. */
internal data class PlotSeries(val name: String, val values: List<Double?>)

/** Plot of several [series] over the same seconds, in one [unit]. */
internal data class Plot(val title: String, val unit: String, val series: List<PlotSeries>)

/** Event of the fleet at [second], with its fields as text. */
internal data class TimelineChange(val second: Int, val vm: String, val event: String, val detail: String)

/** Aggregates of log records per second, counted from the first record at [startMs]. */
internal class LogTimeline(private val records: List<LogRecord>) {
    /** Time of the first record in milliseconds since the epoch. */
    val startMs: Long = records.minOfOrNull { it.timeMs } ?: 0

    /** Number of seconds that the records span. */
    val seconds: Int = records.maxOfOrNull { secondOf(it.timeMs) + 1 } ?: 0

    private val endedRequests = records.filter { it.event == ENDED }

    /** Plots of requests, times to the first byte, configuration versions and backend servers. */
    val plots: List<Plot> get() = listOf(requests(), timesToFirstByte(), versions(), servers())

    /** Changes of the fleet by time: starts, stops, lost and regained control VMs, and orders. */
    val changes: List<TimelineChange>
        get() = records.filter { it.event in CHANGE_EVENTS }
            .map { TimelineChange(secondOf(it.timeMs), it.vm, it.event, it.detail()) }

    private fun secondOf(timeMs: Long): Int = ((timeMs - startMs).coerceAtLeast(0) / MS_PER_S).toInt()

    private fun requests(): Plot {
        val arrivals = count(endedRequests) { it.timeMs - (it.number("elapsed_ms") ?: 0) }
        val byOutcome = OUTCOMES.map { (name, outcomes) ->
            PlotSeries(name, count(endedRequests.filter { it.text("outcome") in outcomes }) { it.timeMs })
        }
        return Plot("Requests", "per second", listOf(PlotSeries("arrived", arrivals)) + byOutcome)
    }

    private fun count(lines: List<LogRecord>, timeMs: (LogRecord) -> Long): List<Double> {
        val counts = lines.groupingBy { secondOf(timeMs(it)) }.eachCount()
        return List(seconds) { (counts[it] ?: 0).toDouble() }
    }

    private fun timesToFirstByte(): Plot {
        val bySecond = endedRequests
            .mapNotNull { record -> record.number("first_ms")?.let { secondOf(record.timeMs) to it } }
            .groupBy({ it.first }, { it.second })
        val series = QUANTILES.map { (name, share) ->
            PlotSeries(name, List(seconds) { second -> bySecond[second]?.quantile(share) })
        }
        return Plot("Time to the first byte of an answer", "ms", series)
    }

    private fun List<Long>.quantile(share: Double): Double = sorted()[((size - 1) * share).toInt()].toDouble()

    /** A VM counts with the version that it logged last; a start of its process clears it. */
    private fun versions(): Plot {
        val versions = HashMap<String, Double>()
        val ranges = sampleEachSecond(
            VERSION_EVENTS,
            { versions.values.minOrNull() to versions.values.maxOrNull() },
        ) { record ->
            if (record.event == START) versions -= record.vm
            record.number("version")?.let { versions[record.vm] = it.toDouble() }
        }
        val series = listOf(
            PlotSeries("lowest", ranges.map { it.first }),
            PlotSeries("highest", ranges.map { it.second }),
        )
        return Plot("Configuration version of the entry VMs", "version", series)
    }

    /** A server counts with the state in its newest record, whichever VM logged it. */
    private fun servers(): Plot {
        val states = HashMap<String, String>()
        val counts = sampleEachSecond(setOf(SERVER), { states.values.groupingBy { it }.eachCount() }) { record ->
            val state = if (record.text("silent") == "true") SILENT else record.text("state").orEmpty()
            record.text("server")?.let { states[it] = state }
        }
        val series = STATES.map { state -> PlotSeries(state, counts.map { (it[state] ?: 0).toDouble() }) }
        return Plot("Backend servers", "servers", series)
    }

    /** Passes the records of [events] to [onRecord] by time and returns the [sample] at the end of each second. */
    private fun <T> sampleEachSecond(events: Set<String>, sample: () -> T, onRecord: (LogRecord) -> Unit): List<T> {
        val recordsBySecond = records.filter { it.event in events }.groupBy { secondOf(it.timeMs) }
        return List(seconds) { second ->
            recordsBySecond[second].orEmpty().forEach(onRecord)
            sample()
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
        val CHANGE_EVENTS = setOf(
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
