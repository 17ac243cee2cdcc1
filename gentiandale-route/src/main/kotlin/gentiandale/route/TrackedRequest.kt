package gentiandale.route

import gentiandale.core.Attempt
import gentiandale.core.CallOutcome
import gentiandale.core.RankRecord
import gentiandale.core.ServerId

/** Where a request stands. */
internal sealed interface Phase {
    /** Waits in the queue of its rank. */
    data object Queued : Phase

    /** Holds servers. */
    sealed interface OnServers : Phase {
        /** Servers that it holds. */
        val pair: ReservedPair
    }

    /** Is at the prefill server, or waits there. */
    data class Prefilling(override val pair: ReservedPair) : OnServers

    /** Its KV cache is on the way to the decode server. */
    data class Transferring(override val pair: ReservedPair) : OnServers

    /** Its tokens are coming since [sinceMs], at first in a batch of [batch]. */
    data class Decoding(override val pair: ReservedPair, val sinceMs: Long, val batch: Int) : OnServers
}

/** Servers that a request holds since [placedMs]. */
internal data class ReservedPair(val prefill: ServerId, val decode: ServerId, val placedMs: Long)

/** A request from its submission to its end. */
internal class TrackedRequest(val request: RouteRequest, var rank: RankRecord) {
    /** Where it stands. */
    var phase: Phase = Phase.Queued

    /** Last attempt that was placed; 0 before the first. */
    var attempt: Attempt = Attempt(0)

    /** Tokens that the caller already has. */
    var sentTokens: Int = 0

    /** Server at which the last attempt failed. */
    var lastFailedServer: ServerId? = null

    /** Start tag in the queue of its rank. */
    var startTag: Double = 0.0

    /** Order of entry into the queue, which decides between equal tags. */
    var sequence: Long = 0

    /** Work that its rank has paid for its placement. */
    var paidWork: Double = 0.0

    /** Whether a byte of it may have reached a server. */
    val wasPlaced: Boolean get() = attempt.value > 0

    /** What is known of it if it is refused now. */
    val outcome: CallOutcome get() = if (wasPlaced) CallOutcome.UNKNOWN else CallOutcome.NOT_RUN

    /** Tokens to prefill: the prompt, and on a later attempt also the tokens already sent. */
    val prefillTokens: Int get() = request.promptTokens + sentTokens

    /** Work that it makes, in prompt tokens. */
    val cost: Double get() = prefillTokens + OUTPUT_TOKEN_WEIGHT * (request.maxTokens - sentTokens).coerceAtLeast(0)

    /** Part of [cost] that was not needed, if its answer has ended at [tokens] tokens. */
    fun unusedCost(tokens: Int): Double = OUTPUT_TOKEN_WEIGHT * (request.maxTokens - tokens).coerceAtLeast(0)

    /** Blocks of engine memory that it can come to need. */
    fun blocks(blockTokens: Int): Int = (request.promptTokens + request.maxTokens + blockTokens - 1) / blockTokens

    private companion object {
        const val OUTPUT_TOKEN_WEIGHT = 40.0
    }
}
