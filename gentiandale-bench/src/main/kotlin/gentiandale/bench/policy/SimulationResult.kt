package gentiandale.bench.policy

import gentiandale.core.RankId
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason

/** Counters and call times of one [FleetSimulation]. */
internal class SimulationResult {
    private val good = HashMap<RankId, Int>()
    private val answered = HashMap<RankId, Int>()
    private val work = HashMap<RankId, Double>()
    private val offered = HashMap<RankId, Int>()
    private val refusals = HashMap<RefusalReason, Int>()
    private val refusalDelays = ArrayList<Double>()

    /** Prompt tokens that prefills computed. */
    var prefillTokens: Long = 0

    /** Prompt tokens that were computed for attempts without a first token. */
    var wastedTokens: Long = 0

    /** Attempts that an engine refused because it was full. */
    var engineRefusals: Int = 0

    /** Requests that were placed again, having lost their server or place. */
    var retries: Int = 0

    /** Requests that reached their deadline without an answer. */
    var expired: Int = 0

    /** Real time of the calls to the policy after the warm-up. */
    val callTimes: CallTimes = CallTimes()

    /** Counts a request that came. */
    fun offered(arrival: Arrival) {
        offered.merge(arrival.rank.rank, 1, Int::plus)
    }

    /** Counts a whole answer; [isGood] if both targets were met. */
    fun answered(arrival: Arrival, isGood: Boolean) {
        answered.merge(arrival.rank.rank, 1, Int::plus)
        work.merge(arrival.rank.rank, Workload.work(arrival), Double::plus)
        if (isGood) good.merge(arrival.rank.rank, 1, Int::plus)
    }

    /** Counts a refusal that came [afterMs] milliseconds after the request. */
    fun refused(refusal: Refusal, afterMs: Double) {
        refusals.merge(refusal.reason, 1, Int::plus)
        refusalDelays += afterMs
    }

    /** Returns the answers under both targets of [rank]. */
    fun good(rank: RankId): Int = good[rank] ?: 0

    /** Returns all answers of [rank]. */
    fun answered(rank: RankId): Int = answered[rank] ?: 0

    /** Returns the requests of [rank] that came. */
    fun offered(rank: RankId): Int = offered[rank] ?: 0

    /** Returns the part of [rank] in the work that was answered. */
    fun workPart(rank: RankId): Double = (work[rank] ?: 0.0) / work.values.sum().coerceAtLeast(1.0)

    /** Answers under both targets. */
    val goodTotal: Int get() = good.values.sum()

    /** Part of the computed prompt tokens that was wasted. */
    val wastedPart: Double get() = if (prefillTokens == 0L) 0.0 else wastedTokens.toDouble() / prefillTokens

    /** Refusals by reason, as text. */
    val refusalText: String get() = refusals.entries.sortedBy {
        it.key
    }.joinToString(" ") { "${it.key.code} ${it.value}" }

    /** Median time from arrival to refusal in milliseconds. */
    val refusalMedianMs: Double get() = refusalDelays.sorted().let { if (it.isEmpty()) 0.0 else it[it.size / 2] }

    /** Longest time from arrival to refusal in milliseconds. */
    val refusalMaxMs: Double get() = refusalDelays.maxOrNull() ?: 0.0
}
