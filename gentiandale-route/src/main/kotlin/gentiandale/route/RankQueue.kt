package gentiandale.route

import gentiandale.core.CallerId
import gentiandale.core.RankRecord
import java.util.TreeSet

/**
 * Queue of the requests of one rank: start-time fair queueing over the callers, in units of work. Requests of a caller
 * with few requests go before the later ones of a caller with many. Requests that were placed before go first.
 */
internal class RankQueue(var rank: RankRecord) {
    private val order = TreeSet(compareBy<TrackedRequest> { it.startTag }.thenBy { it.sequence })
    private val finishTags = HashMap<CallerId, Double>()
    private var virtualTime = 0.0
    private var nextSequence = 0L

    /** Recently placed work of the rank, with exponential decay. */
    val placedWork = DecayingSum(SHARE_DECAY_MS)

    private val arrivals = DecayingSum(SHARE_DECAY_MS)

    /** Returns the recent arrival rate in requests per millisecond. */
    fun arrivalsPerMs(nowMs: Long): Double = arrivals.valueAt(nowMs) / SHARE_DECAY_MS

    /** Counts a new request at [nowMs]. */
    fun recordArrival(nowMs: Long) {
        arrivals.add(1.0, nowMs)
    }

    /** Work that the rank may place ahead of more urgent ranks because of its minimum share. */
    var credit: Double = 0.0
        private set

    /** Requests in service order. */
    val requests: Collection<TrackedRequest> get() = order

    /** Total prefill tokens of the queued requests. */
    var tokens: Double = 0.0
        private set

    /** Number of queued requests. */
    val size: Int get() = order.size

    /** Returns the next request in service order, or null if the queue is empty. */
    fun first(): TrackedRequest? = if (order.isEmpty()) null else order.first()

    /** Adds [track] with a start tag that follows the earlier requests of its caller. */
    fun add(track: TrackedRequest) {
        track.sequence = nextSequence++
        if (track.wasPlaced) {
            track.startTag = RETRY_START_TAG
        } else {
            val caller = track.request.caller
            track.startTag = maxOf(virtualTime, finishTags[caller] ?: 0.0)
            finishTags[caller] = track.startTag + track.work
        }
        order.add(track)
        tokens += track.prefillTokens
    }

    /** Removes [track] to be placed and advances the virtual time. */
    fun dequeue(track: TrackedRequest, nowMs: Long) {
        remove(track)
        if (track.startTag > virtualTime) virtualTime = track.startTag
        placedWork.add(track.work, nowMs)
        if (order.isEmpty()) finishTags.clear()
    }

    /** Removes [track] without placing it. */
    fun drop(track: TrackedRequest) {
        if (!remove(track)) return
        finishTags.computeIfPresent(track.request.caller) { _, tag -> tag - track.work }
        if (order.isEmpty()) finishTags.clear()
    }

    /** Credits the rank's share of [work] placed by another rank, or deducts it if [work] is negative. */
    fun accrue(work: Double) {
        if (order.isEmpty()) return
        addCredit(work * rank.minimumShare / (1 - rank.minimumShare).coerceAtLeast(MIN_OTHER_SHARE))
    }

    /** Charges [work] of this rank to its credit and returns the amount charged. */
    fun charge(work: Double): Double {
        val charged = work.coerceAtMost(credit)
        credit -= charged
        return charged
    }

    /** Refunds [work] that was charged but not done. */
    fun refund(work: Double) {
        addCredit(work)
    }

    private fun remove(track: TrackedRequest): Boolean {
        val wasQueued = order.remove(track)
        if (wasQueued) tokens -= track.prefillTokens
        return wasQueued
    }

    private fun addCredit(work: Double) {
        val cap = CREDIT_CAP_REQUESTS * (first()?.work ?: 0.0)
        credit = (credit + work).coerceIn(0.0, cap.coerceAtLeast(credit))
    }

    /** Returns whether the rank's credit covers its next request. */
    fun hasCreditForNext(): Boolean = credit > 0 && credit >= (first()?.work ?: Double.MAX_VALUE)

    private companion object {
        const val RETRY_START_TAG = -1.0
        const val SHARE_DECAY_MS = 2_000.0
        const val CREDIT_CAP_REQUESTS = 8
        const val MIN_OTHER_SHARE = 0.05
    }
}
