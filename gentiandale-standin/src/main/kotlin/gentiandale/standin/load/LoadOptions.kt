package gentiandale.standin.load

import gentiandale.core.Address
import gentiandale.core.RankId

/** Relative frequency [weight] of requests that carry [rank]. */
public data class RankWeight(val rank: RankId, val weight: Double)

/**
 * Latency targets of an answer.
 *
 * @param firstTokenMs maximum time to first token in milliseconds.
 * @param betweenTokensMs maximum mean time between tokens in milliseconds.
 */
public data class LatencyTargets(val firstTokenMs: Long, val betweenTokensMs: Long)

/**
 * Engines that are called directly, bypassing the entry VMs, as a baseline.
 *
 * @param callsPerSecond mean number of direct calls per second.
 */
public data class DirectBaseline(val prefill: Address, val decode: Address, val callsPerSecond: Double)

/**
 * Parameters of a load run.
 *
 * @param targets entry VMs, called round-robin.
 * @param arrivalsPerSecond mean arrivals per second; they follow a Poisson process.
 * @param promptTokens shortest and longest prompt in tokens; lengths are log-uniformly distributed.
 * @param durationMs duration of the arrivals in milliseconds.
 * @param maxRequests maximum number of requests, after which arrivals end.
 * @param answerLimitMs time to wait for open requests after the last arrival, in milliseconds.
 */
public data class LoadOptions(
    val targets: List<Address>,
    val model: String,
    val seed: Long,
    val arrivalsPerSecond: Double,
    val ranks: List<RankWeight>,
    val promptTokens: IntRange,
    val maxTokens: IntRange,
    val latency: LatencyTargets,
    val durationMs: Long,
    val maxRequests: Int,
    val answerLimitMs: Long,
    val direct: DirectBaseline? = null,
)
