package gentiandale.core.engine

import gentiandale.core.AdapterId
import gentiandale.core.Attempt
import gentiandale.core.FencingNumber
import gentiandale.core.ModelId
import gentiandale.core.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Paths of the HTTP interface of model engines. */
public object EnginePaths {
    /** Runs a prefill: [PrefillRequest] to [PrefillReply]. */
    public const val PREFILL: String = "/engine/prefill"

    /** Streams tokens: [DecodeRequest] to server-sent events of [DecodeEvent]. */
    public const val DECODE: String = "/engine/decode"

    /** Cancels the attempts of a request: [CancelRequest] to [CancelReply]. */
    public const val CANCEL: String = "/engine/cancel"

    /** Accepts an order: [EngineOrder]. */
    public const val ORDER: String = "/engine/order"

    /** Exports a KV cache by its handle. */
    public const val KV: String = "/engine/kv"
}

/**
 * Requests a prefill.
 *
 * @param priority priority in the engine's queue; 0 is the most urgent.
 * @param deadlineMs time in milliseconds after receipt when the caller no longer waits for the result.
 */
@Serializable
public data class PrefillRequest(
    val request: RequestId,
    val attempt: Attempt,
    val model: ModelId,
    val adapter: AdapterId? = null,
    val prompt: String,
    val priority: Int = 0,
    @SerialName("deadline_ms") val deadlineMs: Long,
)

/**
 * Result of a prefill.
 *
 * @param handle handle of the KV cache at the prefill server.
 * @param promptTokens tokens of the prompt.
 * @param cachedTokens tokens of the prompt found in the prefix cache.
 * @param kvBytes size of the KV cache in bytes.
 * @param expiresInMs time for which the KV cache is kept, in milliseconds.
 */
@Serializable
public data class PrefillReply(
    val request: RequestId,
    val attempt: Attempt,
    val handle: String,
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("cached_tokens") val cachedTokens: Int = 0,
    @SerialName("kv_bytes") val kvBytes: Long = 0,
    @SerialName("expires_in_ms") val expiresInMs: Long,
)

/**
 * Requests the tokens of an answer.
 *
 * @param kvSource `host:port` of the prefill server that holds the KV cache.
 * @param kvHandle handle of the KV cache at that server.
 * @param firstIndex index of the first requested token; above 0 when a stream is resumed.
 */
@Serializable
public data class DecodeRequest(
    val request: RequestId,
    val attempt: Attempt,
    val model: ModelId,
    val adapter: AdapterId? = null,
    val prompt: String,
    @SerialName("kv_source") val kvSource: String,
    @SerialName("kv_handle") val kvHandle: String,
    @SerialName("max_tokens") val maxTokens: Int,
    @SerialName("first_index") val firstIndex: Int = 0,
    val priority: Int = 0,
    @SerialName("deadline_ms") val deadlineMs: Long,
)

/**
 * One event of a decode stream. The last one has a [finish] of `stop` or `length`.
 *
 * @param index index of the token in the answer, from 0; the last event carries the number of tokens.
 */
@Serializable
public data class DecodeEvent(
    val request: RequestId,
    val attempt: Attempt,
    val index: Int,
    val text: String = "",
    val finish: String? = null,
) {
    /** Values of [finish]. */
    public companion object {
        /** Values of [finish] with which an answer is complete; any other one is the failure of its attempt. */
        public val COMPLETE: Set<String> = setOf("stop", "length")
    }
}

/** Cancels every attempt of [request] up to [attempt] at an engine and frees what they hold there. */
@Serializable
public data class CancelRequest(val request: RequestId, val attempt: Attempt)

/** Reply to a [CancelRequest]: [held] says whether the engine held anything for the request. */
@Serializable
public data class CancelReply(val request: RequestId, val held: Boolean)

/**
 * Orders an engine to load a model version or adapter, or to change role.
 *
 * @param fencing fencing token of the lease under which the order is given.
 * @param role `prefill` or `decode`, or null to keep the role.
 * @param expiresAtMs wall-clock time in milliseconds after which the order is no longer valid; 0 for no limit.
 */
@Serializable
public data class EngineOrder(
    val fencing: FencingNumber,
    val model: ModelId,
    val version: String,
    val adapters: Set<AdapterId> = emptySet(),
    val role: String? = null,
    @SerialName("expires_at_ms") val expiresAtMs: Long = 0,
)
