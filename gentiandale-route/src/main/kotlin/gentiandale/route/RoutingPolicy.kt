package gentiandale.route

import gentiandale.core.AdapterId
import gentiandale.core.Attempt
import gentiandale.core.CallerId
import gentiandale.core.ModelId
import gentiandale.core.ModelRecord
import gentiandale.core.RankId
import gentiandale.core.RankRecord
import gentiandale.core.Refusal
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerLoad

/**
 * Properties of a completion request that a [RoutingPolicy] uses.
 *
 * @param promptTokens estimated length of the prompt in tokens.
 * @param maxTokens upper bound of the answer length in tokens.
 * @param prefix hashes of the prompt's leading blocks of engine memory, outermost first.
 * @param arrivedMs monotonic time of arrival in milliseconds.
 * @param deadlineMs monotonic time in milliseconds after which the caller no longer waits.
 */
public data class RouteRequest(
    val request: RequestId,
    val caller: CallerId,
    val rank: RankId,
    val model: ModelId,
    val adapter: AdapterId? = null,
    val promptTokens: Int,
    val maxTokens: Int,
    val prefix: List<Long> = emptyList(),
    val arrivedMs: Long,
    val deadlineMs: Long,
)

/** Prefill and decode server that were chosen together. */
public data class ServerPair(val prefill: ServerId, val decode: ServerId)

/** Server that was not chosen, with the [reason] for the log line of the decision. */
public data class PassedOver(val server: ServerId, val reason: String)

/** Action requested by a [RoutingPolicy]. */
public sealed interface Effect {
    /**
     * Starts [attempt] of [request] on [pair]. The decode place is reserved for it.
     *
     * @param why short reason for the choice.
     * @param passedOver a few of the servers that were not chosen.
     * @param priority priority on the engines; 0 is the most urgent.
     */
    public data class Place(
        val request: RequestId,
        val attempt: Attempt,
        val pair: ServerPair,
        val why: String,
        val passedOver: List<PassedOver> = emptyList(),
        val priority: Int = 0,
    ) : Effect

    /** Ends [request] with the final answer [refusal]. */
    public data class Refuse(val request: RequestId, val refusal: Refusal) : Effect

    /** Cancels [attempt] of [request] to free its place; the policy queues the request again or refuses it. */
    public data class Preempt(val request: RequestId, val attempt: Attempt, val why: String) : Effect
}

/** Change of the fleet or of its configuration. */
public sealed interface FleetEvent {
    /** A server announced itself or reported its load. */
    public data class ServerSeen(val facts: ServerFacts, val load: ServerLoad) : FleetEvent

    /** A server was removed from the fleet. */
    public data class ServerGone(val server: ServerId) : FleetEvent

    /** Blocks with these [hashes] entered the prefix cache of [server], or left it if not [present]. */
    public data class CacheChanged(val server: ServerId, val hashes: List<Long>, val present: Boolean) : FleetEvent

    /** Cache events of [server] were missed, so the known content of its prefix cache is no longer valid. */
    public data class CacheGap(val server: ServerId) : FleetEvent

    /** The configured models have changed to [models]. */
    public data class ModelsChanged(val models: List<ModelRecord>) : FleetEvent

    /** The configured ranks have changed to [ranks]. */
    public data class RanksChanged(val ranks: List<RankRecord>) : FleetEvent
}

/** Progress of a submitted request. */
public sealed interface RequestEvent {
    /** Request that the event concerns. */
    public val request: RequestId

    /**
     * The prefill is complete; the KV cache can be transferred.
     *
     * @param cachedTokens tokens that the engine found in its prefix cache; null if it did not report them.
     */
    public data class Prefilled(
        override val request: RequestId,
        val attempt: Attempt,
        val cachedTokens: Int? = null,
    ) : RequestEvent

    /** The first token arrived. */
    public data class FirstToken(override val request: RequestId, val attempt: Attempt) : RequestEvent

    /**
     * The attempt failed at [server]. The policy places it again, queues it, or refuses it.
     *
     * @param sentTokens tokens already sent to the caller.
     */
    public data class Failed(
        override val request: RequestId,
        val attempt: Attempt,
        val server: ServerId,
        val sentTokens: Int,
    ) : RequestEvent

    /** The answer is complete and has [tokens] tokens. */
    public data class Answered(override val request: RequestId, val tokens: Int) : RequestEvent

    /** The caller has cancelled the request or disconnected. */
    public data class Cancelled(override val request: RequestId) : RequestEvent
}

/**
 * Assigns requests to the places of a group of servers. It does no I/O and reads no clock: each call passes the
 * monotonic time `nowMs` in milliseconds and returns the effects to carry out. Not thread-safe: calls must not overlap.
 */
public interface RoutingPolicy {
    /** Processes a change of the fleet. */
    public fun observe(event: FleetEvent, nowMs: Long): List<Effect>

    /** Submits a new request, to be placed, queued or refused. */
    public fun submit(request: RouteRequest, nowMs: Long): List<Effect>

    /** Processes the progress of a request. */
    public fun progress(event: RequestEvent, nowMs: Long): List<Effect>

    /** Processes the passage of time: refuses requests that can no longer be served in time. */
    public fun tick(nowMs: Long): List<Effect>
}
