package gentiandale.relay.placement

import io.netty.handler.codec.DateFormatter

/**
 * Decides for how long a server that rejected a request with 503 and `Retry-After` gets no requests of this VM. Answers
 * the load under which single servers shed requests while others have capacity.
 */
public object RestPolicy {
    private const val UNAVAILABLE = 503
    private const val MS_PER_S = 1_000.0
    private val SECONDS = Regex("\\d+(\\.\\d*)?|\\.\\d+")

    /**
     * Longest rest in milliseconds. A longer time is more likely an error than a plan, and a server that is replaced or
     * restarted earlier has a new incarnation, to which the rest does not apply.
     */
    public const val MAX_REST_MS: Long = 300_000

    /**
     * Returns the rest in milliseconds, or null if the answer asks for none.
     *
     * @param retryAfter header value: seconds with an optional fraction, or an HTTP date; anything else asks for none.
     * @param date value of the `Date` header of the answer, from which a date in [retryAfter] is counted.
     * @param wallMs time of day of this VM, used if the answer has no valid [date].
     */
    public fun restMs(status: Int, retryAfter: String?, date: String?, wallMs: Long): Long? {
        if (status != UNAVAILABLE || retryAfter == null) return null
        val text = retryAfter.trim()
        val ms = if (SECONDS.matches(text)) {
            (text.toDouble() * MS_PER_S).coerceAtMost(MAX_REST_MS.toDouble()).toLong()
        } else {
            val until = DateFormatter.parseHttpDate(text)?.time ?: return null
            val now = date?.let { DateFormatter.parseHttpDate(it) }?.time ?: wallMs
            (until - now).coerceAtMost(MAX_REST_MS)
        }
        return ms.takeIf { it > 0 }
    }
}
