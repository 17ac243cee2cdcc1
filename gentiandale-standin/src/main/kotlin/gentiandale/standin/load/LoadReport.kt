package gentiandale.standin.load

import gentiandale.core.CallOutcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Percentiles of a latency distribution in milliseconds. */
@Serializable
public data class Percentiles(
    val count: Long,
    val p50: Double,
    val p90: Double,
    val p99: Double,
    @SerialName("p99_9") val p999: Double,
    val max: Double,
)

/**
 * Results of a group of requests.
 *
 * @param withinTargets answers that meet both latency targets.
 * @param goodputPerSecond [withinTargets] per second of the arrival period.
 * @param unreachable requests whose connection failed, or closed before the first token.
 * @param open requests without a result when the run ended.
 */
@Serializable
public data class GroupReport(
    val offered: Int,
    val answered: Int,
    @SerialName("within_targets") val withinTargets: Int,
    @SerialName("goodput_per_second") val goodputPerSecond: Double,
    val refused: Int,
    val wrong: Int,
    val cut: Int,
    val unreachable: Int,
    val open: Int,
    @SerialName("first_token_ms") val firstTokenMs: Percentiles,
    @SerialName("between_tokens_ms") val betweenTokensMs: Percentiles,
)

/** Refusals with the same [reason] and [outcome]. */
@Serializable
public data class RefusalReport(
    val reason: String,
    val outcome: CallOutcome?,
    @SerialName("time_to_refusal_ms") val timeToRefusalMs: Percentiles,
)

/** Number of failures with the same [detail]. */
@Serializable
public data class FailureReport(val detail: String, val count: Int)

/**
 * Time to first token that the entry VMs add, compared with direct calls to the engines in the same run.
 *
 * @param medianMs difference of the medians in milliseconds.
 * @param p99Ms difference of the 99th percentiles in milliseconds.
 */
@Serializable
public data class AddedLatency(
    @SerialName("median_ms") val medianMs: Double,
    @SerialName("p99_ms") val p99Ms: Double,
)

/** Report of a load run. */
@Serializable
public data class LoadReport(
    val seed: Long,
    @SerialName("arrivals_ms") val arrivalsMs: Long,
    val total: GroupReport,
    @SerialName("by_rank") val byRank: Map<String, GroupReport>,
    @SerialName("by_vm") val byVm: Map<String, GroupReport>,
    val refusals: List<RefusalReport>,
    val failures: List<FailureReport>,
    val direct: GroupReport? = null,
    @SerialName("added_first_token") val addedFirstToken: AddedLatency? = null,
)
