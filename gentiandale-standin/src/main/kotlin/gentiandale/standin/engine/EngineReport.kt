package gentiandale.standin.engine

import gentiandale.core.FencingNumber
import gentiandale.core.ModelId
import gentiandale.core.ServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Order that an engine received, and whether it was carried out ([taken]) or rejected. */
@Serializable
public data class OrderRecord(
    val fencing: FencingNumber,
    val model: ModelId,
    val version: String,
    val role: String?,
    val taken: Boolean,
)

/**
 * Actual state and counters of an engine, served at `GET /standin/report`.
 *
 * @param held attempts that occupy a place.
 * @param heldBlocks blocks of engine memory in use, including KV caches that wait for export.
 * @param kv handles of the KV caches that wait for export.
 */
@Serializable
public data class EngineReport(
    val server: ServerId,
    val held: List<WorkId>,
    @SerialName("held_blocks") val heldBlocks: Int,
    val kv: List<String>,
    @SerialName("prefill_tokens_run") val prefillTokensRun: Long,
    @SerialName("prefill_tokens_cached") val prefillTokensCached: Long,
    @SerialName("prefill_tokens_wasted") val prefillTokensWasted: Long,
    @SerialName("tokens_sent") val tokensSent: Long,
    @SerialName("answers_finished") val answersFinished: Long,
    val orders: List<OrderRecord>,
)
