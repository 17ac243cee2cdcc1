package gentiandale.bench.policy

import gentiandale.core.Attempt
import gentiandale.core.RequestId

/** State of a request in a [FleetSimulation]. */
internal class SimulatedRequest(val arrival: Arrival, private val onToken: (SimulatedRequest, Boolean) -> Unit) {
    /** Its identifier. */
    val id: RequestId = arrival.request.request

    /** Attempt at work. */
    var attempt: Attempt = Attempt(0)

    /** Tokens that the caller has. */
    var sent: Int = 0

    /** Time of the first token in milliseconds. */
    var firstTokenMs: Double = 0.0

    /** Prompt tokens that were computed for the attempt and are not yet of use. */
    var unusedTokens: Int = 0

    /** Servers of the attempt. */
    var prefill: SimulatedPrefillEngine? = null

    /** Servers of the attempt. */
    var decode: SimulatedDecodeEngine? = null

    /** Takes the next token, the last one of the answer if [isLast]. */
    fun token(isLast: Boolean) {
        sent++
        onToken(this, isLast)
    }
}
