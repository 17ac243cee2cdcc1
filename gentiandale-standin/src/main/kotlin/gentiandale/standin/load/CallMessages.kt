package gentiandale.standin.load

import gentiandale.core.CallOutcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of a streamed completion call. */
@Serializable
internal data class CompletionCall(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean = true,
)

/** Chunk of a streamed completion, reduced to the fields that the load tool reads. */
@Serializable
internal data class CompletionChunk(val choices: List<ChunkChoice> = emptyList())

/** Choice of a [CompletionChunk]. */
@Serializable
internal data class ChunkChoice(
    val text: String = "",
    @SerialName("finish_reason") val finish: String? = null,
)

/** Problem document of a refusal or error event, reduced to the fields that the load tool reads. */
@Serializable
internal data class RefusalBody(val reason: String = "unreadable", val outcome: CallOutcome? = null)
