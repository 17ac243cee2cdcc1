package gentiandale.relay.routing

import gentiandale.core.backend.ServiceName

/** What may be done with a request that might have run already. */
public enum class Repetition {
    /** It may run any number of times. */
    IDEMPOTENT,

    /** It runs once at most. */
    AT_MOST_ONCE,

    /** It is a stream of events that may go on at another server after the last event that was passed on. */
    RESUMABLE,
}

/**
 * Share of a route's requests that goes to [service].
 *
 * @param weight relative to the other shares of the route; 0 for none.
 */
public data class TrafficShare(val service: ServiceName, val weight: Int)

/**
 * Treatment of the requests to one host and path prefix.
 *
 * @param prefix begins and ends with a slash; the longest one that begins the path decides.
 * @param stream whether the answer is a stream of events.
 * @param timeoutMs longest time in milliseconds until the final answer.
 * @param targetMs time in milliseconds in which the answer, or the first event of a stream, should come.
 * @param urgency rank of the work; 0 is the most urgent.
 * @param maxAttempts most servers that one request is sent to.
 * @param maxGapMs longest pause between two events of a stream, in milliseconds; 0 where none is stated.
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
)
