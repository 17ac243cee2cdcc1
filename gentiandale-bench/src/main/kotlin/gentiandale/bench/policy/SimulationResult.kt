package gentiandale.bench.policy

import gentiandale.core.RankId
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason

/** Counters and call times of one [FleetSimulation]. */
internal class SimulationResult {
    private val withinTargets = HashMap<RankId, Int>()
    private val answered = HashMap<RankId, Int>()
    private val work = HashMap<RankId, Double>()
    private val offered = HashMap<RankId, Int>()
    private val refusals = HashMap<RefusalReason, Int>()
    private val refusalDelays = ArrayList<Double>()

    /** Prompt tokens computed by the prefill engines. */
    var prefillTokens: Long = 0

    /** Prompt tokens computed for attempts that ended before their first token. */
    var wastedTokens: Long = 0

    /** Attempts refused by a decode engine because its places or memory were exhausted. */
    var engineRefusals: Int = 0

    /** Repeated placements of requests that had lost their server or place. */
    var retries: Int = 0

    /** Requests whose deadline passed before their answer was complete. */
    var expired: Int = 0

    /** Wall-clock durations of the calls to the policy after the warm-up. */
    val callTimes: CallTimes = CallTimes()

    /** Counts an arrived request. */
    fun addArrival(arrival: Arrival) {
        offered.merge(arrival.rank.rank, 1, Int::plus)
    }

    /** Counts a complete answer; [meetsTargets] tells whether both latency targets of its rank were met. */
    fun addAnswer(arrival: Arrival, meetsTargets: Boolean) {
        answered.merge(arrival.rank.rank, 1, Int::plus)
        work.merge(arrival.rank.rank, Workload.work(arrival), Double::plus)
        if (meetsTargets) withinTargets.merge(arrival.rank.rank, 1, Int::plus)
    }

    /** Counts a refusal [afterMs] milliseconds after the arrival of the request. */
    fun addRefusal(refusal: Refusal, afterMs: Double) {
        refusals.merge(refusal.reason, 1, Int::plus)
        refusalDelays += afterMs
    }

    /** Returns the number of answers of [rank] that met both of its latency targets. */
    fun withinTargets(rank: RankId): Int = withinTargets[rank] ?: 0

    /** Returns the number of complete answers of [rank]. */
    fun answered(rank: RankId): Int = answered[rank] ?: 0

    /** Returns the number of requests of [rank] that arrived. */
    fun offered(rank: RankId): Int = offered[rank] ?: 0

    /** Returns the share of [rank] in the [work][Workload.work] of all complete answers, from 0 to 1. */
    fun workShare(rank: RankId): Double = (work[rank] ?: 0.0) / work.values.sum().coerceAtLeast(1.0)

    /** Number of answers that met both latency targets of their rank. */
    val withinTargetsTotal: Int get() = withinTargets.values.sum()

    /** Share of the computed prompt tokens that was wasted, from 0 to 1. */
    val wastedShare: Double get() = if (prefillTokens == 0L) 0.0 else wastedTokens.toDouble() / prefillTokens

    /** Number of refusals by reason, formatted for the table. */
    val refusalText: String get() = refusals.entries.sortedBy {
        it.key
    }.joinToString(" ") { "${it.key.code} ${it.value}" }

    /** Median time from arrival to refusal in milliseconds. */
    val refusalMedianMs: Double get() = refusalDelays.sorted().let { if (it.isEmpty()) 0.0 else it[it.size / 2] }

    /** Longest time from arrival to refusal in milliseconds. */
    val refusalMaxMs: Double get() = refusalDelays.maxOrNull() ?: 0.0
}
