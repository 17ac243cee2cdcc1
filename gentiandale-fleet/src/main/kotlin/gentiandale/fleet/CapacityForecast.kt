package gentiandale.fleet

import kotlin.math.pow
import kotlin.random.Random

/**
 * Rate at which capacity of a service becomes available, and the refusal of requests that it can't reach in time.
 * Answers the load in which more requests wait than can be served before their deadlines: their callers are told at
 * once when to return, instead of leaving without an answer.
 */
internal class CapacityForecast(private val random: Random) {
    private var completed = 0.0
    private var granted = 0.0
    private var saturatedMs = 0.0
    private var atMs = Long.MIN_VALUE
    private var isSaturated = false

    /** Records that [count] requests have ended. Only those that end while others wait show what the servers can do. */
    fun onCompleted(count: Int, nowMs: Long) {
        decay(nowMs)
        if (isSaturated) completed += count
    }

    /** Records a grant. */
    fun onGranted(nowMs: Long) {
        decay(nowMs)
        if (isSaturated) granted++
    }

    /** Records whether requests wait from [nowMs] on. */
    fun onWaiting(hasWaiting: Boolean, nowMs: Long) {
        decay(nowMs)
        isSaturated = hasWaiting
    }

    private fun decay(nowMs: Long) {
        val elapsed = if (atMs == Long.MIN_VALUE) 0.0 else (nowMs - atMs).toDouble()
        atMs = nowMs
        if (!isSaturated || elapsed <= 0) return
        val factor = 2.0.pow(-elapsed / HALF_LIFE_MS)
        completed *= factor
        granted *= factor
        saturatedMs = saturatedMs * factor + elapsed
    }

    /**
     * Returns the milliseconds until [ahead] requests have got capacity, or null if that is unknown.
     *
     * @param places places of all servers of a plain service; 0 for engines, whose answers differ in length.
     */
    fun waitMs(ahead: Long, places: Int, durationMs: Long): Long? {
        if (ahead == 0L) return 0
        val measured = maxOf(completed, granted) / saturatedMs.coerceAtLeast(1.0)
        val expected = places.toDouble() / durationMs.coerceAtLeast(1)
        val perMs = if (saturatedMs >= MIN_MEASURED_MS) measured else expected
        return if (perMs > 0) (ahead / perMs).toLong() else null
    }

    /** Returns when a caller that has [leftMs] left should retry, if there is capacity for it in [waitMs]. */
    fun retryAfterMs(waitMs: Long, leftMs: Long): Long {
        val jittered = waitMs * (1 + random.nextDouble() * MAX_JITTER)
        return jittered.toLong().coerceAtLeast(MIN_RETRY_MS).coerceAtMost((leftMs / MAX_SHARE_OF_LEFT).coerceAtLeast(1))
    }

    private companion object {
        const val HALF_LIFE_MS = 2_000.0

        /** A rate measured for less than this depends on a few requests. */
        const val MIN_MEASURED_MS = 700.0

        /** Callers that are refused together return apart. */
        const val MAX_JITTER = 0.5

        /** A caller that waits no longer than a third of its time can be refused once more and still be served. */
        const val MAX_SHARE_OF_LEFT = 3

        /** A retry within less time finds the same queue. */
        const val MIN_RETRY_MS = 50L
    }
}
