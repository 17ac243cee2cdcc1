package gentiandale.relay.routing

import gentiandale.core.backend.ServiceName

/** Whether a request that may have been executed already may be sent again. */
public enum class Repetition {
    /** It may be executed any number of times. */
    IDEMPOTENT,

    /** It must not be executed more than once. */
    AT_MOST_ONCE,

    /** It is an event stream that another server may resume after the last event sent to the caller. */
    RESUMABLE,
}

/**
 * Share of the requests of a route that goes to [service].
 *
 * @param weight relative to the other shares of the route; 0 for none.
 */
public data class TrafficShare(val service: ServiceName, val weight: Int)

/**
 * Rule for the requests to one host and path prefix.
 *
 * @param prefix begins and ends with a slash; the longest prefix that matches the path wins.
 * @param stream whether the answer is an event stream.
 * @param timeoutMs maximum time in milliseconds until the final answer.
 * @param targetMs latency target in milliseconds of the answer, or of the first event of a stream.
 * @param urgency rank of the work; 0 is the most urgent.
 * @param maxAttempts maximum number of servers that one request is sent to.
 * @param maxGapMs longest gap between two events of a stream in milliseconds; 0 if none is stated.
 * @param isOpen whether its requests need no key of a customer.
 */
public data class RouteRule(
    val name: String,
    val host: String,
    val prefix: String,
    val repetition: Repetition,
    val stream: Boolean,
    val timeoutMs: Long,
    val targetMs: Long,
    val urgency: Int,
    val shares: List<TrafficShare>,
    val maxAttempts: Int,
    val maxGapMs: Long,
    val isOpen: Boolean = false,
)
