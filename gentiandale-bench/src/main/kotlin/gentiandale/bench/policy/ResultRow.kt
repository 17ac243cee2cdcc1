package gentiandale.bench.policy

import java.util.Locale

/** Table row with the results of one policy in one scenario: median over the seeds, with minimum and maximum. */
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
            medianAndRange(1) { it.withinTargetsTotal / seconds },
            medianAndRange(1) { percent(it.withinTargets(urgent), it.offered(urgent)) },
            medianAndRange(1) { percent(it.withinTargets(routine), it.offered(routine)) },
            medianAndRange(1) { it.answered(routine) / seconds },
            medianAndRange(1) { it.workShare(routine) * PERCENT },
            medianAndRange(2) { it.wastedShare * PERCENT },
            medianAndRange(0) { it.engineRefusals.toDouble() },
            medianAndRange(0) { it.retries.toDouble() },
            medianAndRange(0) { it.expired.toDouble() },
            medianAndRange(0) { it.refusalMedianMs },
            medianAndRange(0) { it.refusalMaxMs },
            medianAndRange(1) { it.callTimes.meanMicros(CallKind.SUBMIT) },
            results.first().refusalText,
        ).joinToString(" | ", "| ", " |")
    }

    private fun percent(part: Int, whole: Int) = if (whole == 0) 0.0 else PERCENT * part / whole

    private fun medianAndRange(digits: Int, value: (SimulationResult) -> Double): String {
        val sorted = results.map(value).sorted()
        val formatted = listOf(sorted[sorted.size / 2], sorted.first(), sorted.last()).map {
            "%.${digits}f".format(Locale.ROOT, it)
        }
        return "${formatted[0]} (${formatted[1]}..${formatted[2]})"
    }

    companion object {
        private const val MS_PER_SECOND = 1_000.0
        private const val PERCENT = 100.0

        /** Header of the table in Markdown. */
        const val HEADER: String =
            "| load | policy | goodput/s | urgent good % | routine good % | routine answers/s | " +
                "routine work % | " +
                "prefill wasted % | full-engine refusals | retries | expired | refusal median ms | refusal max ms | " +
                "us/decision | refusals (seed 1) |\n" +
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    }
}
