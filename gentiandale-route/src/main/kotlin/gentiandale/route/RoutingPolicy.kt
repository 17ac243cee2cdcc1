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
 * A completion request as the policy sees it.
 *
 * @param promptTokens estimated length of the prompt in tokens.
 * @param maxTokens upper bound of the answer in tokens.
 * @param prefix hashes of the prompt's leading blocks of engine memory, outermost first.
 * @param arrivedMs monotonic time of arrival in milliseconds.
 * @param deadlineMs monotonic time in milliseconds after which nobody waits.
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

/** A prefill and a decode server that were chosen together. */
public data class ServerPair(val prefill: ServerId, val decode: ServerId)

/** Reason to pass over a server, for the decision's log line. */
public data class PassedOver(val server: ServerId, val reason: String)

/** What the policy wants done. */
public sealed interface Effect {
    /**
     * Starts [attempt] of [request] on [pair]. The decode place is held for it.
     *
     * @param why short reason for the choice.
     * @param passedOver a few of the servers that were not chosen.
     * @param priority order in the engines; 0 is the most urgent.
     */
    public data class Place(
        val request: RequestId,
        val attempt: Attempt,
        val pair: ServerPair,
        val why: String,
        val passedOver: List<PassedOver> = emptyList(),
        val priority: Int = 0,
    ) : Effect

    /** Gives [request] its final answer [refusal] now. */
    public data class Refuse(val request: RequestId, val refusal: Refusal) : Effect

    /** Takes the place of [request] away; the policy queues it again or refuses it. */
    public data class Preempt(val request: RequestId, val attempt: Attempt, val why: String) : Effect
}

/** What happened to the fleet. */
public sealed interface FleetEvent {
    /** A server announced itself or reported its load. */
    public data class ServerSeen(val facts: ServerFacts, val load: ServerLoad) : FleetEvent

    /** A server is gone. */
    public data class ServerGone(val server: ServerId) : FleetEvent

    /** Blocks with these [hashes] entered the prefix cache of [server], or left it if not [present]. */
    public data class CacheChanged(val server: ServerId, val hashes: List<Long>, val present: Boolean) : FleetEvent

    /** Cache events of [server] were missed: what is known of its prefix cache no longer holds. */
    public data class CacheGap(val server: ServerId) : FleetEvent

    /** The models in force. */
    public data class ModelsChanged(val models: List<ModelRecord>) : FleetEvent

    /** The ranks in force. */
    public data class RanksChanged(val ranks: List<RankRecord>) : FleetEvent
}

/** What happened to a placed request. */
public sealed interface RequestEvent {
    /** Request that it happened to. */
    public val request: RequestId

    /**
     * The prefill is done; the KV cache can be handed over.
     *
     * @param cachedTokens tokens that the engine found in its prefix cache; null if not told.
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
     * @param sentTokens tokens that the caller already has.
     */
    public data class Failed(
        override val request: RequestId,
        val attempt: Attempt,
        val server: ServerId,
        val sentTokens: Int,
    ) : RequestEvent

    /** The request is answered in full. */
    public data class Answered(override val request: RequestId, val tokens: Int) : RequestEvent

    /** The caller has left. */
    public data class Cancelled(override val request: RequestId) : RequestEvent
}

/**
 * Decides over the places of a group of servers. It does no I/O and reads no clock: each call brings the monotonic
 * time `nowMs` in milliseconds and returns what is to be done. Calls are made one at a time.
 */
public interface RoutingPolicy {
    /** Takes note of a change of the fleet. */
    public fun observe(event: FleetEvent, nowMs: Long): List<Effect>

    /** Takes on a new request. */
    public fun submit(request: RouteRequest, nowMs: Long): List<Effect>

    /** Takes note of the progress of a request. */
    public fun progress(event: RequestEvent, nowMs: Long): List<Effect>

    /** Lets time pass: refuses what has waited too long. */
    public fun tick(nowMs: Long): List<Effect>
}
