package gentiandale.relay.life

/**
 * How far an answer has come, as its caller sees it.
 *
 * @param startMs monotonic time in milliseconds at which the request arrived.
 * @param lastEvent id of the last event that the caller had before, or null.
 */
internal class AnswerProgress(private val startMs: Long, lastEvent: String?) {
    private var lastPartMs: Long? = null

    /** Id of the last event that the caller has, or null. */
    var lastEvent: String? = lastEvent
        private set

    /** Time in milliseconds from the request to the first part of its answer; null before. */
    var firstMs: Long? = null
        private set

    /** Longest pause between two parts in milliseconds; null before the second. */
    var longestGapMs: Long? = null
        private set

    /** Notes a part of the answer at [nowMs], the event [event] if it has an id. */
    fun onPart(nowMs: Long, event: Long? = null) {
        val previousMs = lastPartMs
        if (previousMs == null) firstMs = nowMs - startMs else longestGapMs = maxOf(longestGapMs ?: 0, nowMs - previousMs)
        lastPartMs = nowMs
        event?.let { lastEvent = it.toString() }
    }
}
