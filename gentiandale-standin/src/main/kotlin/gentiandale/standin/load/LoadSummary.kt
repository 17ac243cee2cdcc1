package gentiandale.standin.load

import org.HdrHistogram.Histogram

/** Planned request with its result. */
internal data class LoadSample(val planned: PlannedRequest, val result: CallResult)

/** Aggregates samples into a [LoadReport]. */
internal class LoadSummary(private val options: LoadOptions) {
    /** Aggregates [samples] into a report. */
    fun report(samples: List<LoadSample>): LoadReport {
        val (routed, directSamples) = samples.partition { it.planned.target != null }
        val total = group(routed)
        val direct = directSamples.takeIf { it.isNotEmpty() }?.let(::group)
        return LoadReport(
            seed = options.seed,
            arrivalsMs = options.durationMs,
            total = total,
            byRank = routed.groupBy { it.planned.rank.value }.toSortedMap().mapValues { group(it.value) },
            byVm = routed.groupBy { it.planned.target.toString() }.toSortedMap().mapValues { group(it.value) },
            refusals = refusals(routed),
            failures = failures(routed),
            direct = direct,
            addedFirstToken = direct?.let { addedLatency(total.firstTokenMs, it.firstTokenMs) },
        )
    }

    private fun group(samples: List<LoadSample>): GroupReport {
        val results = samples.map { it.result }
        val answered = results.filterIsInstance<CallResult.Answered>()
        val withinTargets = answered.count(::isWithinTargets)
        return GroupReport(
            offered = samples.size,
            answered = answered.size,
            withinTargets = withinTargets,
            goodputPerSecond = withinTargets * MS_PER_SECOND / options.durationMs,
            refused = results.count { it is CallResult.Refused },
            wrong = results.count { it is CallResult.Wrong },
            cut = results.count { it is CallResult.Cut },
            unreachable = results.count { it is CallResult.Unreachable },
            open = results.count { it is CallResult.Open },
            firstTokenMs = percentiles(answered.map { it.firstTokenMs }),
            betweenTokensMs = percentiles(answered.flatMap { it.gapsMs }),
        )
    }

    private fun isWithinTargets(answer: CallResult.Answered): Boolean =
        answer.firstTokenMs <= options.latency.firstTokenMs && answer.meanGapMs <= options.latency.betweenTokensMs

    private fun refusals(samples: List<LoadSample>): List<RefusalReport> = samples.map { it.result }
        .filterIsInstance<CallResult.Refused>()
        .groupBy { it.reason to it.outcome }
        .map { (key, same) -> RefusalReport(key.first, key.second, percentiles(same.map { it.afterMs })) }

    private fun failures(samples: List<LoadSample>): List<FailureReport> = samples.mapNotNull { detailOf(it.result) }
        .groupingBy { it }.eachCount().map { (detail, count) -> FailureReport(detail, count) }

    private fun detailOf(result: CallResult): String? = when (result) {
        is CallResult.Wrong -> "wrong: ${result.detail}"
        is CallResult.Cut -> "cut: ${result.detail}"
        is CallResult.Unreachable -> "unreachable: ${result.detail}"
        CallResult.Open -> "open at the end of the run"
        is CallResult.Answered, is CallResult.Refused -> null
    }

    private fun addedLatency(routed: Percentiles, direct: Percentiles) =
        AddedLatency(routed.p50 - direct.p50, routed.p99 - direct.p99)

    private fun percentiles(timesMs: List<Double>): Percentiles {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        timesMs.forEach { histogram.recordValue((it * US_PER_MS).toLong().coerceAtLeast(0)) }

        fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / US_PER_MS
        return Percentiles(
            count = histogram.totalCount,
            p50 = at(percentile = 50.0),
            p90 = at(percentile = 90.0),
            p99 = at(percentile = 99.0),
            p999 = at(percentile = 99.9),
            max = histogram.maxValue / US_PER_MS,
        )
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val US_PER_MS = 1_000.0
        const val SIGNIFICANT_DIGITS = 3
    }
}
