package gentiandale.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of work that a backend server does. */
@Serializable
public enum class ServerKind {
    /** Model engine that computes the KV cache of prompts. */
    @SerialName("prefill")
    PREFILL,

    /** Model engine that generates tokens from a KV cache. */
    @SerialName("decode")
    DECODE,

    /** Service that is not a model engine; its calls are passed on unchanged. */
    @SerialName("plain")
    PLAIN,
}

/**
 * Facts that a backend server announces about itself.
 *
 * @param server stable name of the server.
 * @param incarnation start time of the server's process in milliseconds; the latest one wins.
 * @param address address at which it accepts calls.
 * @param dataCentre data centre in which it runs.
 * @param model model that it has loaded; null for a plain service.
 * @param adapters adapters that it has loaded.
 * @param version version of the model that it has loaded.
 * @param service name of the plain service; null for an engine.
 * @param places requests that it can hold at once.
 * @param memoryBlocks blocks of engine memory; 0 for a plain service.
 * @param blockTokens tokens in one block of engine memory.
 * @param prefillTokensPerSecond announced prefill speed; 0 where unknown.
 * @param linkBytesPerSecond bandwidth of its KV transfer link; 0 where unknown.
 * @param checksFencing whether it refuses an order with an old fencing number.
 * @param leaving whether it is shutting down and takes no new work.
 */
@Serializable
public data class ServerFacts(
    val server: ServerId,
    val incarnation: Incarnation,
    val address: Address,
    @SerialName("data_centre") val dataCentre: DataCentreId,
    val kind: ServerKind,
    val model: ModelId? = null,
    val adapters: Set<AdapterId> = emptySet(),
    val version: String? = null,
    val service: String? = null,
    val places: Int,
    @SerialName("memory_blocks") val memoryBlocks: Int = 0,
    @SerialName("block_tokens") val blockTokens: Int = DEFAULT_BLOCK_TOKENS,
    @SerialName("prefill_tokens_per_second") val prefillTokensPerSecond: Double = 0.0,
    @SerialName("link_bytes_per_second") val linkBytesPerSecond: Double = 0.0,
    @SerialName("checks_fencing") val checksFencing: Boolean = false,
    val leaving: Boolean = false,
) {
    /** Defaults of announcements. */
    public companion object {
        /** Tokens in one block of engine memory unless the announcement gives another number. */
        public const val DEFAULT_BLOCK_TOKENS: Int = 2_000
    }
}

/**
 * Load that a backend server reports. It lags behind the actual load.
 *
 * @param running requests that hold a place.
 * @param queued requests that wait for a place at the server.
 * @param usedBlocks blocks of engine memory in use.
 * @param queuedTokens prompt tokens that wait for a prefill.
 * @param requests identifiers of the requests that the server holds.
 */
@Serializable
public data class ServerLoad(
    val running: Int = 0,
    val queued: Int = 0,
    @SerialName("used_blocks") val usedBlocks: Int = 0,
    @SerialName("queued_tokens") val queuedTokens: Long = 0,
    val requests: List<RequestId> = emptyList(),
)

/** An announcement of a backend server: its facts and its current load. */
@Serializable
public data class Announcement(val facts: ServerFacts, val load: ServerLoad = ServerLoad())
