package gentiandale.daemon.http

/** Request and response format of one completion endpoint. */
internal enum class CompletionFormat {
    /** Text completions at `/v1/completions`. */
    TEXT,

    /** Chat completions at `/v1/chat/completions`. */
    CHAT,
    ;

    /** Returns the prompt of [call], or null if it has none. */
    fun promptOf(call: CompletionCall): String? = when (this) {
        TEXT -> call.prompt
        CHAT -> call.messages.takeIf { it.isNotEmpty() }?.joinToString("\n") { "${it.role}: ${it.content}" }
    }

    /** Returns a chunk of a streamed answer with [text]; the last chunk has the reason to [finish]. */
    fun chunk(id: String, model: String, text: String, finish: String?): CompletionBody {
        val choice = when (this) {
            TEXT -> Choice(text = text, finishReason = finish)
            CHAT -> Choice(delta = ChatDelta(content = text), finishReason = finish)
        }
        val kind = if (this == TEXT) "text_completion" else "chat.completion.chunk"
        return CompletionBody(id, kind, model, listOf(choice))
    }

    /** Returns a complete answer. */
    fun completeAnswer(id: String, model: String, text: String, finish: String, usage: Usage): CompletionBody {
        val choice = when (this) {
            TEXT -> Choice(text = text, finishReason = finish)
            CHAT -> Choice(message = ChatMessage("assistant", text), finishReason = finish)
        }
        val kind = if (this == TEXT) "text_completion" else "chat.completion"
        return CompletionBody(id, kind, model, listOf(choice), usage)
    }
}
