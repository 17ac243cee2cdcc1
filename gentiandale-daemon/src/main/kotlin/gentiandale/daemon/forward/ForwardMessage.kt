package gentiandale.daemon.forward

import gentiandale.core.AdapterId
import gentiandale.core.CallerId
import gentiandale.core.Clock
import gentiandale.core.ModelId
import gentiandale.core.RankId
import gentiandale.core.RequestId
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.Completion
import gentiandale.route.RouteRequest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifier of one forwarding of a request, unique across VMs and their restarts. */
@Serializable
@JvmInline
internal value class ForwardSessionId(val value: String) {
    override fun toString(): String = value
}

/** Message between the entry VM that received a request and the owner of the servers. */
@Serializable
internal sealed interface ForwardMessage {
    /** Asks the owner to run [work]. Sent again until the owner answers; the owner runs it once. */
    @Serializable
    @SerialName("o")
    data class Open(
        @SerialName("leg") val session: ForwardSessionId,
        val work: ForwardedCompletion,
    ) : ForwardMessage

    /** Carries [answers], numbered from [first]. */
    @Serializable
    @SerialName("a")
    data class Answers(
        @SerialName("leg") val session: ForwardSessionId,
        val first: Long,
        val answers: List<Answer>,
    ) : ForwardMessage

    /** Acknowledges the answers before [next] and renews the lease of the entry VM. */
    @Serializable
    @SerialName("k")
    data class Ack(
        @SerialName("leg") val session: ForwardSessionId,
        val next: Long,
    ) : ForwardMessage

    /** Confirms that the owner runs the request, and renews the owner's lease. */
    @Serializable
    @SerialName("l")
    data class KeepAlive(
        @SerialName("leg") val session: ForwardSessionId,
    ) : ForwardMessage

    /** Answers an [Ack] of a session that the owner does not know. */
    @Serializable
    @SerialName("g")
    data class UnknownSession(
        @SerialName("leg") val session: ForwardSessionId,
    ) : ForwardMessage

    /** Ends the request at the owner; its answers are no longer needed. */
    @Serializable
    @SerialName("c")
    data class Cancel(
        @SerialName("leg") val session: ForwardSessionId,
    ) : ForwardMessage

    /** Asks for the journal of [request]. The reply is a list of [gentiandale.daemon.request.JournalEntry]. */
    @Serializable
    @SerialName("j")
    data class JournalQuery(val request: RequestId) : ForwardMessage
}

/**
 * [Completion] as sent to another VM. Times are relative, because the monotonic clocks of two VMs differ.
 *
 * @param waitedMs time since the request arrived at the entry VM, in milliseconds.
 * @param remainingMs time until the deadline, in milliseconds.
 */
@Serializable
internal data class ForwardedCompletion(
    val request: RequestId,
    val caller: CallerId,
    val rank: RankId,
    val model: ModelId,
    val adapter: AdapterId? = null,
    val promptTokens: Int,
    val maxTokens: Int,
    val prefix: List<Long> = emptyList(),
    val prompt: String,
    val priority: Int = 0,
    val firstIndex: Int = 0,
    val attemptBase: Int = 0,
    val waitedMs: Long,
    val remainingMs: Long,
) {
    /** Returns the completion with its times converted to [clock]. */
    fun toCompletion(clock: Clock): Completion {
        val now = clock.monotonicMs()
        val route = RouteRequest(
            request = request,
            caller = caller,
            rank = rank,
            model = model,
            adapter = adapter,
            promptTokens = promptTokens,
            maxTokens = maxTokens,
            prefix = prefix,
            arrivedMs = now - waitedMs,
            deadlineMs = now + remainingMs,
        )
        return Completion(route, prompt, priority, firstIndex, attemptBase)
    }
}

/** Returns this completion with its times relative to the present time of [clock]. */
internal fun Completion.toForwarded(clock: Clock): ForwardedCompletion {
    val now = clock.monotonicMs()
    return ForwardedCompletion(
        request = route.request,
        caller = route.caller,
        rank = route.rank,
        model = route.model,
        adapter = route.adapter,
        promptTokens = route.promptTokens,
        maxTokens = route.maxTokens,
        prefix = route.prefix,
        prompt = prompt,
        priority = priority,
        firstIndex = firstIndex,
        attemptBase = attemptBase,
        waitedMs = now - route.arrivedMs,
        remainingMs = route.deadlineMs - now,
    )
}
