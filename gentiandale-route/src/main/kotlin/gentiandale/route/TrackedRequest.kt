package gentiandale.route

import gentiandale.core.Attempt
import gentiandale.core.CallOutcome
import gentiandale.core.RankRecord
import gentiandale.core.ServerId

/** Phase of a request. */
internal sealed interface Phase {
    /** The request waits in the queue of its rank. */
    data object Queued : Phase

    /** The request has reservations on servers. */
    sealed interface OnServers : Phase {
        /** Servers with a reservation for the request. */
        val pair: ReservedPair
    }

    /** The request is running or queued on the prefill server. */
    data class Prefilling(override val pair: ReservedPair) : OnServers

    /** The KV cache is being transferred to the decode server. */
    data class Transferring(override val pair: ReservedPair) : OnServers

    /** Tokens have been arriving since [sinceMs], initially in a batch of size [batch]. */
    data class Decoding(override val pair: ReservedPair, val sinceMs: Long, val batch: Int) : OnServers
}

/** Servers on which a request has had reservations since [placedMs]. */
internal data class ReservedPair(val prefill: ServerId, val decode: ServerId, val placedMs: Long)

/** State of a request from its submission to its end. */
internal class TrackedRequest(val request: RouteRequest, var rank: RankRecord) {
    /** Current phase. */
    var phase: Phase = Phase.Queued

    /** Last placed attempt; 0 before the first one. */
    var attempt: Attempt = Attempt(0)

    /** Tokens already sent to the caller. */
    var sentTokens: Int = 0

    /** Server on which the last attempt failed. */
    var lastFailedServer: ServerId? = null

    /** Start tag in the queue of its rank. */
    var startTag: Double = 0.0

    /** Position of entry into the queue, which breaks ties between equal start tags. */
    var sequence: Long = 0

    /** Work charged to the credit of its rank for the placement. */
    var chargedWork: Double = 0.0

    /** Whether it was placed, so that any part of it may have reached a server. */
    val wasPlaced: Boolean get() = attempt.value > 0

    /** Outcome to report if it is refused now. */
    val outcome: CallOutcome get() = if (wasPlaced) CallOutcome.UNKNOWN else CallOutcome.NOT_RUN

    /** Tokens to prefill: the prompt and, on a later attempt, the tokens already sent. */
    val prefillTokens: Int get() = request.promptTokens + sentTokens

    /** Estimated work in units of one prompt token. */
    val work: Double get() = prefillTokens + OUTPUT_TOKEN_WEIGHT * (request.maxTokens - sentTokens).coerceAtLeast(0)

    /** Returns the part of [work] that an answer of [tokens] tokens did not need. */
    fun unusedWork(tokens: Int): Double = OUTPUT_TOKEN_WEIGHT * (request.maxTokens - tokens).coerceAtLeast(0)

    /** Returns the maximum number of engine memory blocks of [blockTokens] tokens that it needs. */
    fun blocks(blockTokens: Int): Int = (request.promptTokens + request.maxTokens + blockTokens - 1) / blockTokens

    private companion object {
        const val OUTPUT_TOKEN_WEIGHT = 40.0
    }
}
