package gentiandale.bench.policy

import java.util.Locale

/** One row of results: medians over the runs of a scenario, with the spread from the least to the greatest. */
internal class ResultRow(
    private val scenario: Scenario,
    private val policy: String,
    private val results: List<SimulationResult>,
) {
    override fun toString(): String {
        val urgent = Workload.URGENT.rank
        val routine = Workload.ROUTINE.rank
        val seconds = scenario.measuredMs / MS_PER_SECOND
        return listOf(
            scenario.name,
            policy,
            spread(1) { it.goodTotal / seconds },
            spread(1) { percent(it.good(urgent), it.offered(urgent)) },
            spread(1) { percent(it.good(routine), it.offered(routine)) },
            spread(1) { it.answered(routine) / seconds },
            spread(1) { it.workPart(routine) * PERCENT },
            spread(2) { it.wastedPart * PERCENT },
            spread(0) { it.engineRefusals.toDouble() },
            spread(0) { it.retries.toDouble() },
            spread(0) { it.expired.toDouble() },
            spread(0) { it.refusalMedianMs },
            spread(0) { it.refusalMaxMs },
            spread(1) { it.callTimes.meanMicros(CallKind.SUBMIT) },
            results.first().refusalText,
        ).joinToString(" | ", "| ", " |")
    }

    private fun percent(part: Int, whole: Int) = if (whole == 0) 0.0 else PERCENT * part / whole

    private fun spread(digits: Int, value: (SimulationResult) -> Double): String {
        val sorted = results.map(value).sorted()
        val texts = listOf(sorted[sorted.size / 2], sorted.first(), sorted.last()).map {
            "%.${digits}f".format(Locale.ROOT, it)
        }
        return "${texts[0]} (${texts[1]}..${texts[2]})"
    }

    companion object {
        private const val MS_PER_SECOND = 1_000.0
        private const val PERCENT = 100.0

        /** Head of the table. */
        const val HEADER: String =
            "| load | policy | goodput/s | urgent good % | routine good % | routine answers/s | " +
                "routine work % | " +
                "prefill wasted % | full-engine refusals | retries | expired | refusal median ms | refusal max ms | " +
                "us/decision | refusals (seed 1) |\n" +
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    }
}
