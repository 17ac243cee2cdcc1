package gentiandale.relay.request

/**
 * Progress of an answer as seen by its caller.
 *
 * @param startMs monotonic time in milliseconds at which the request arrived.
 * @param lastEvent id of the last event that the caller received on an earlier connection, or null.
 */
internal class AnswerProgress(private val startMs: Long, lastEvent: String?) {
    private var lastPartMs: Long? = null

    /** Id of the last event sent to the caller, or null. */
    var lastEvent: String? = lastEvent
        private set

    /** Time in milliseconds from the request to the first part of its answer, or null before that. */
    var firstMs: Long? = null
        private set

    /** Longest gap between two parts in milliseconds, or null before the second part. */
    var maxGapMs: Long? = null
        private set

    /** Records a part of the answer sent at [nowMs]; [event] is its event id, if it has one. */
    fun onPart(nowMs: Long, event: Long? = null) {
        val previousMs = lastPartMs
        if (previousMs == null) firstMs = nowMs - startMs else maxGapMs = maxOf(maxGapMs ?: 0, nowMs - previousMs)
        lastPartMs = nowMs
        event?.let { lastEvent = it.toString() }
    }
}
