package gentiandale.bench.policy

import gentiandale.core.ModelId
import gentiandale.core.RankId
import gentiandale.core.RankRecord

/** Fault that strikes in the middle of a run. */
internal enum class Fault {
    NONE,

    /** One decode server dies: its streams break, and calls to it fail at once. */
    DECODE_KILLED,

    /** Half of the data centres are cut off: their streams go silent, and calls to them time out. */
    HALF_CUT,
}

/**
 * Load and faults of a run.
 *
 * @param servers engines in the fleet, half of each kind.
 * @param urgentLoad arrivals of the urgent rank as a part of the fleet's capacity.
 * @param routineLoad arrivals of the routine rank as a part of the fleet's capacity.
 * @param reportMs time between two load reports of a server in milliseconds.
 * @param lagMs age of a load report on arrival in milliseconds.
 * @param slowPart part of the decode engines whose tokens slow down more with the batch.
 */
internal data class Scenario(
    val name: String,
    val servers: Int,
    val urgentLoad: Double,
    val routineLoad: Double,
    val fault: Fault,
    val reportMs: Double,
    val lagMs: Double,
    val slowPart: Double,
    val measuredMs: Double,
)

/** Builds a [Scenario]. */
internal class ScenarioBuilder(private val name: String, private val servers: Int) {
    /** ArrivalGenerator of both ranks as a part of capacity. */
    var load: Double = 0.7

    /** Factor on the arrivals of the urgent rank. */
    var urgentFactor: Double = 1.0

    /** Factor on the arrivals of the routine rank. */
    var routineFactor: Double = 1.0

    /** Fault in the middle of the run. */
    var fault: Fault = Fault.NONE

    /** Age of a load report on arrival in milliseconds. */
    var lagMs: Double = 100.0

    /** Part of the decode engines that are slow. */
    var slowPart: Double = 0.0

    /** Length of the measured part in milliseconds. */
    var measuredMs: Double = 40_000.0

    /** Returns the scenario. */
    fun build() = Scenario(
        name,
        servers,
        URGENT_PART * load * urgentFactor,
        (1 - URGENT_PART) * load * routineFactor,
        fault,
        REPORT_MS,
        lagMs,
        slowPart,
        measuredMs,
    )

    private companion object {
        const val URGENT_PART = 0.3
        const val REPORT_MS = 500.0
    }
}

/** Builds a scenario called [name] for [servers] engines. */
internal fun scenario(name: String, servers: Int, configure: ScenarioBuilder.() -> Unit): Scenario =
    ScenarioBuilder(name, servers).apply(configure).build()

/** The loads that the policies are compared under. */
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
    scenario("decode killed", servers) { fault = Fault.DECODE_KILLED },
    scenario("lag 1 s", servers) {
        load = 1.0
        lagMs = 1_000.0
    },
    scenario("half cut", servers) { fault = Fault.HALF_CUT },
    scenario("slow half", servers) { slowPart = 0.5 },
)

/** Work and engines of the runs. */
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
    const val HOP_MS = 1.0
    const val TOKEN_BASE_MS = 30.0
    const val TOKEN_STEP_MS = 2.0
    const val SLOW_TOKEN_STEP_MS = 3.0
    const val MEAN_ANSWER_TOKENS = 60.0
    const val MAX_ANSWER_TOKENS = 128
    private const val OUTPUT_TOKEN_WEIGHT = 40.0

    /** Work of an answered request in prompt tokens; a token of the answer costs as much as many of the prompt. */
    fun work(arrival: Arrival): Double = arrival.request.promptTokens + OUTPUT_TOKEN_WEIGHT * arrival.answerTokens

    /** Requests per millisecond that [decodes] decode engines can take when all their places are full. */
    fun capacity(decodes: Int): Double =
        decodes * PLACES / (MEAN_ANSWER_TOKENS * (TOKEN_BASE_MS + TOKEN_STEP_MS * PLACES))
}
