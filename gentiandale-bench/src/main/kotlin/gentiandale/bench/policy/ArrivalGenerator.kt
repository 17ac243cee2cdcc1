package gentiandale.bench.policy

import gentiandale.core.CallerId
import gentiandale.core.RankRecord
import gentiandale.core.RequestId
import gentiandale.route.RouteRequest
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random

/** Request that arrives at [atMs] and whose answer has [answerTokens] tokens. */
internal class Arrival(val atMs: Double, val request: RouteRequest, val rank: RankRecord, val answerTokens: Int)

/**
 * Generates the arrivals of a simulation. Each rank has its own random source, so that a change to the arrivals of one
 * rank does not alter those of the other.
 */
internal class ArrivalGenerator(private val scenario: Scenario, private val seed: Long) {
    /** Returns all arrivals before [endMs] in chronological order. */
    fun generateUntil(endMs: Double): List<Arrival> {
        val capacity = Workload.capacity(scenario.servers / 2)
        val urgent = arrivalsOf(Workload.URGENT, capacity * scenario.urgentLoad, endMs, URGENT_PROMPTS)
        val routine = arrivalsOf(Workload.ROUTINE, capacity * scenario.routineLoad, endMs, ROUTINE_PROMPTS)
        return (urgent + routine).sortedBy { it.atMs }
    }

    private fun arrivalsOf(rank: RankRecord, ratePerMs: Double, endMs: Double, prompts: IntRange): List<Arrival> {
        val random = Random(seed * RANK_SEED_STRIDE + rank.order)
        val arrivals = ArrayList<Arrival>()
        if (ratePerMs <= 0) return arrivals
        var atMs = exponential(random) / ratePerMs
        while (atMs < endMs) {
            arrivals += arrival(rank, arrivals.size, atMs, prompts, random)
            atMs += exponential(random) / ratePerMs
        }
        return arrivals
    }

    private fun arrival(rank: RankRecord, number: Int, atMs: Double, prompts: IntRange, random: Random): Arrival {
        val caller = (random.nextDouble() * random.nextDouble() * CALLERS_PER_RANK).toInt()
        val promptTokens = prompts.random(random)
        val sharesPrefix = random.nextDouble() < SHARED_PREFIX_SHARE
        val blocks = if (sharesPrefix) promptTokens / Workload.BLOCK_TOKENS else 0
        val answerTokens =
            (MIN_ANSWER_TOKENS + exponential(random) * (Workload.MEAN_ANSWER_TOKENS - MIN_ANSWER_TOKENS)).roundToInt()
        val request = RouteRequest(
            request = RequestId("${rank.rank}-$number"),
            caller = CallerId("${rank.rank}-$caller"),
            rank = rank.rank,
            model = Workload.MODEL,
            promptTokens = promptTokens,
            maxTokens = Workload.MAX_ANSWER_TOKENS,
            prefix = (0 until blocks).map { (rank.order * CALLERS_PER_RANK + caller) * BLOCK_STRIDE + it },
            arrivedMs = atMs.toLong(),
            deadlineMs = atMs.toLong() + DEADLINE_FIRST_TOKEN_TARGETS * rank.firstTokenMs + ANSWER_TIME_MS,
        )
        return Arrival(atMs, request, rank, answerTokens.coerceAtMost(Workload.MAX_ANSWER_TOKENS))
    }

    private fun exponential(random: Random) = -ln(1 - random.nextDouble())

    private companion object {
        const val RANK_SEED_STRIDE = 1_000L
        const val CALLERS_PER_RANK = 40
        const val SHARED_PREFIX_SHARE = 0.3
        const val MIN_ANSWER_TOKENS = 20
        const val BLOCK_STRIDE = 100L
        const val DEADLINE_FIRST_TOKEN_TARGETS = 4
        const val ANSWER_TIME_MS = 10_000
        val URGENT_PROMPTS = 1_000..5_000
        val ROUTINE_PROMPTS = 1_000..6_000
    }
}
