package gentiandale.bench.policy

import gentiandale.core.ModelId
import gentiandale.core.RankId
import gentiandale.core.RankRecord

/** Fault injected in the middle of the measured period. */
internal enum class SimulatedFault {
    NONE,

    /** One decode server is killed: its streams break, and calls to it fail at once. */
    DECODE_KILLED,

    /** Half of the data centres become unreachable: their streams stall, and calls to them time out. */
    HALF_CUT,
}

/**
 * Load and fault of a simulation.
 *
 * @param servers number of engines in the fleet: half prefill, half decode.
 * @param urgentLoad arrival rate of the urgent rank as a fraction of the fleet's capacity.
 * @param routineLoad arrival rate of the routine rank as a fraction of the fleet's capacity.
 * @param reportIntervalMs interval between the load reports of a server in milliseconds.
 * @param reportLagMs age of a load report on arrival in milliseconds.
 * @param slowDecodeShare fraction of the decode engines whose time per token grows faster with the batch size.
 * @param measuredMs length of the measured period in milliseconds.
 */
internal data class Scenario(
    val name: String,
    val servers: Int,
    val urgentLoad: Double,
    val routineLoad: Double,
    val fault: SimulatedFault,
    val reportIntervalMs: Double,
    val reportLagMs: Double,
    val slowDecodeShare: Double,
    val measuredMs: Double,
)

/** Builds a [Scenario]. */
internal class ScenarioBuilder(private val name: String, private val servers: Int) {
    /** Arrival rate of both ranks together as a fraction of the fleet's capacity. */
    var load: Double = 0.7

    /** Multiplier of the arrival rate of the urgent rank. */
    var urgentFactor: Double = 1.0

    /** Multiplier of the arrival rate of the routine rank. */
    var routineFactor: Double = 1.0

    /** Fault injected in the middle of the measured period. */
    var fault: SimulatedFault = SimulatedFault.NONE

    /** Age of a load report on arrival in milliseconds. */
    var reportLagMs: Double = 100.0

    /** Fraction of the decode engines whose time per token grows faster with the batch size. */
    var slowDecodeShare: Double = 0.0

    /** Length of the measured period in milliseconds. */
    var measuredMs: Double = 40_000.0

    /** Returns the scenario. */
    fun build() = Scenario(
        name,
        servers,
        URGENT_SHARE * load * urgentFactor,
        (1 - URGENT_SHARE) * load * routineFactor,
        fault,
        REPORT_INTERVAL_MS,
        reportLagMs,
        slowDecodeShare,
        measuredMs,
    )

    private companion object {
        const val URGENT_SHARE = 0.3
        const val REPORT_INTERVAL_MS = 500.0
    }
}

/** Builds a scenario called [name] for [servers] engines. */
internal fun scenario(name: String, servers: Int, configure: ScenarioBuilder.() -> Unit): Scenario =
    ScenarioBuilder(name, servers).apply(configure).build()

/** Scenarios under which the policies are compared. */
internal fun standardScenarios(servers: Int): List<Scenario> = listOf(
    scenario("70 %", servers) { load = 0.7 },
    scenario("100 %", servers) { load = 1.0 },
    scenario("130 %", servers) { load = 1.3 },
    scenario("urgent alone", servers) {
        load = 1.0
        routineFactor = 0.0
    },
    scenario("routine flood", servers) {
        load = 1.0
        routineFactor = 5.0
    },
    scenario("urgent flood", servers) {
        load = 1.0
        urgentFactor = 5.0
    },
    scenario("decode killed", servers) { fault = SimulatedFault.DECODE_KILLED },
    scenario("lag 1 s", servers) {
        load = 1.0
        reportLagMs = 1_000.0
    },
    scenario("half cut", servers) { fault = SimulatedFault.HALF_CUT },
    scenario("slow half", servers) { slowDecodeShare = 0.5 },
)

/** Parameters of the simulated requests and engines. */
internal object Workload {
    /** Model of all requests. */
    val MODEL = ModelId("m")

    /** The urgent rank. */
    val URGENT = RankRecord(RankId("urgent"), 0, minimumShare = 0.0, firstTokenMs = 660, betweenTokensMs = 77)

    /** The routine rank. */
    val ROUTINE = RankRecord(RankId("routine"), 1, minimumShare = 0.2, firstTokenMs = 2_500, betweenTokensMs = 150)

    const val PLACES = 20
    const val MEMORY_BLOCKS = 70
    const val BLOCK_TOKENS = 2_000
    const val PREFILL_TOKENS_PER_MS = 20.0
    const val KV_BYTES_PER_TOKEN = 25_000L
    const val LINK_BYTES_PER_MS = 1e6
    const val KV_LIFETIME_MS = 800.0
    const val NETWORK_DELAY_MS = 1.0
    const val TOKEN_BASE_MS = 30.0
    const val TOKEN_MS_PER_REQUEST = 2.0
    const val SLOW_TOKEN_MS_PER_REQUEST = 3.0
    const val MEAN_ANSWER_TOKENS = 60.0
    const val MAX_ANSWER_TOKENS = 128
    private const val OUTPUT_TOKEN_WEIGHT = 40.0

    /** Returns the work of an answered request in prompt tokens; output tokens count [OUTPUT_TOKEN_WEIGHT] times. */
    fun work(arrival: Arrival): Double = arrival.request.promptTokens + OUTPUT_TOKEN_WEIGHT * arrival.answerTokens

    /** Returns the requests per millisecond that [decodes] decode engines complete with all places occupied. */
    fun capacity(decodes: Int): Double =
        decodes * PLACES / (MEAN_ANSWER_TOKENS * (TOKEN_BASE_MS + TOKEN_MS_PER_REQUEST * PLACES))
}
