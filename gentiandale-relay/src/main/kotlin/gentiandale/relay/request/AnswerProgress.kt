package gentiandale.relay.request

import gentiandale.relay.AnswerSummary
import gentiandale.relay.ConnectionUse
import gentiandale.relay.upstream.AnswerFraming

/**
 * Progress of an answer as seen by its caller.
 *
 * @param startMs monotonic time in milliseconds at which the request arrived.
 * @param lastEvent id of the last event that the caller received on an earlier connection, or null.
 */
internal class AnswerProgress(private val startMs: Long, lastEvent: String?) {
    private var firstMs: Long? = null
    private var lastPartMs: Long? = null
    private var maxGapMs: Long? = null
    private var framing: AnswerFraming? = null
    private var source: ConnectionUse? = null
    private var readBytes = 0L
    private var sentBytes = 0L

    /** Id of the last event sent to the caller, or null. */
    var lastEvent: String? = lastEvent
        private set

    /** Records that a server has sent [bytes] bytes of a body. */
    fun onRead(bytes: Int) {
        readBytes += bytes
    }

    /** Records a part of [bytes] bytes, sent to the caller at [nowMs]; [event] is its event id, if it has one. */
    fun onPart(nowMs: Long, bytes: Int, event: Long? = null) {
        sentBytes += bytes
        val previousMs = lastPartMs
        if (previousMs == null) firstMs = nowMs - startMs else maxGapMs = maxOf(maxGapMs ?: 0, nowMs - previousMs)
        lastPartMs = nowMs
        event?.let { lastEvent = it.toString() }
    }

    /** Records that the answer of a server, which came by [source], has ended. */
    fun onAnswerEnd(framing: AnswerFraming, source: ConnectionUse?) {
        this.framing = framing
        this.source = source
    }

    /** Returns what the caller has received so far. */
    fun summary() = AnswerSummary(firstMs, lastEvent, maxGapMs, framing, source, readBytes, sentBytes)
}
