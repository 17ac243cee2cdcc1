package gentiandale.daemon.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of a call of `/v1/completions`, which uses [prompt], or `/v1/chat/completions`, which uses [messages]. */
@Serializable
internal data class CompletionCall(
    val model: String,
    val prompt: String? = null,
    val messages: List<ChatMessage> = emptyList(),
    @SerialName("max_tokens") val maxTokens: Int = 64,
    val stream: Boolean = false,
    val user: String? = null,
)

/** One message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)

/** Complete answer, or one chunk of a streamed answer. */
@Serializable
internal data class CompletionBody(
    val id: String,
    @SerialName("object") val kind: String,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage? = null,
)

/** Choice of an answer; each answer has exactly one. */
@Serializable
internal data class Choice(
    val index: Int = 0,
    val text: String? = null,
    val message: ChatMessage? = null,
    val delta: ChatDelta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** New content of a streamed chat answer. */
@Serializable
internal data class ChatDelta(val role: String? = null, val content: String? = null)

/** Numbers of tokens used by a completion. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
)
