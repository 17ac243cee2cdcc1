package gentiandale.relay

import gentiandale.relay.upstream.AnswerFraming

/**
 * What a caller received of an answer, for logs.
 *
 * @param firstMs time in milliseconds from the request to the first part, or null without a part.
 * @param lastEvent id of the last event of a stream, or null.
 * @param gapMs longest gap between two parts in milliseconds, or null before the second part.
 * @param framing framing of the last answer of a server that reached its end, or null if none did.
 * @param source use of the connection to a server that carried that answer, or null.
 * @param readBytes bytes of the bodies that servers have sent for the request.
 * @param sentBytes bytes of the body that the caller was sent.
 */
public data class AnswerSummary(
    val firstMs: Long? = null,
    val lastEvent: String? = null,
    val gapMs: Long? = null,
    val framing: AnswerFraming? = null,
    val source: ConnectionUse? = null,
    val readBytes: Long = 0,
    val sentBytes: Long = 0,
)
