package gentiandale.relay

import gentiandale.relay.upstream.AnswerFraming

/**
 * What a caller received of an answer, for logs.
 *
 * @param firstMs time in milliseconds from the request to the first part, or null without a part.
 * @param lastEvent id of the last event of a stream, or null.
 * @param gapMs longest gap between two parts in milliseconds, or null before the second part.
 * @param framing framing of the last answer of a server that reached its end, or null if none did.
 */
public data class AnswerSummary(
    val firstMs: Long? = null,
    val lastEvent: String? = null,
    val gapMs: Long? = null,
    val framing: AnswerFraming? = null,
)
