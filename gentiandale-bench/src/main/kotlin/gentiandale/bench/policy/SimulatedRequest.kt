package gentiandale.bench.policy

import gentiandale.core.Attempt
import gentiandale.core.RequestId

/** State of a request in a [FleetSimulation]. */
internal class SimulatedRequest(val arrival: Arrival, private val onToken: (SimulatedRequest, Boolean) -> Unit) {
    /** Identifier that the routing policy uses. */
    val id: RequestId = arrival.request.request

    /** Current attempt. */
    var attempt: Attempt = Attempt(0)

    /** Number of tokens already sent to the caller. */
    var sentTokens: Int = 0

    /** Virtual time of the first token in milliseconds. */
    var firstTokenAtMs: Double = 0.0

    /** Prompt tokens computed for the current attempt; wasted if it ends before its first token. */
    var unusedTokens: Int = 0

    /** Prefill engine of the current attempt. */
    var prefill: SimulatedPrefillEngine? = null

    /** Decode engine of the current attempt. */
    var decode: SimulatedDecodeEngine? = null

    /** Sends the next token to the caller; [isLast] marks the last one of the answer. */
    fun sendToken(isLast: Boolean) {
        sentTokens++
        onToken(this, isLast)
    }
}
