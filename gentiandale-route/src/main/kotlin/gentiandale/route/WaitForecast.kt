package gentiandale.route

/**
 * Forecasts when queued requests of a pool are placed, from the work ahead of them, the prefill speed and the rate at
 * which decode places are released.
 */
internal class WaitForecast(private val pool: ModelPool, private val nowMs: Long) {
    private val capacity = pool.capacity(nowMs)
    private val releasesPerMs = (capacity.used / pool.holdMs.value).coerceAtLeast(MIN_RATE)
    private val freePlaces = (capacity.places - capacity.used).coerceAtLeast(0)
    private val prefillAheadMs: Double by lazy(LazyThreadSafetyMode.NONE) {
        pool.prefills
            .filter { !it.facts.leaving && !it.cooldown.isActive(nowMs) }
            .minOfOrNull { it.queueDelayMs(order = 0, nowMs) } ?: 0.0
    }

    /** Returns the time in milliseconds to drain [requests] requests of [tokens] tokens in all, with [free] places. */
    private fun drainTimeMs(tokens: Double, requests: Int, free: Int): Double = maxOf(
        tokens / capacity.tokensPerMs,
        (requests - free).coerceAtLeast(0) / releasesPerMs,
    )

    /**
     * Visits queued requests, in rank and service order, with the expected time to their placement in milliseconds.
     * Requests for which [visitor] returns false do not count towards the backlog of the ones after them.
     */
    fun visit(visitor: (TrackedRequest, Double) -> Boolean) {
        var urgentMs = 0.0
        for (queue in pool.queues) {
            val share = shareOf(queue)
            val free = freePlacesFor(queue)
            var tokens = 0.0
            var requests = 0
            for (track in queue.requests) {
                val stays = visitor(track, waitMs(urgentMs, drainTimeMs(tokens, requests + 1, free), share, queue))
                if (!stays) continue
                requests++
                tokens += track.prefillTokens
            }
            urgentMs += drainTimeMs(tokens, requests, free)
        }
    }

    /** Returns the number of free places available to [queue]. */
    private fun freePlacesFor(queue: RankQueue): Int = (freePlaces - pool.headroom(queue, nowMs)).coerceAtLeast(0)

    /** A rank is served after the more urgent ones or, at its minimum share, beside them, whichever is sooner. */
    private fun waitMs(urgentMs: Double, backlogMs: Double, share: Double, queue: RankQueue): Double {
        val afterMs = urgentMs + backlogMs / share
        val minimum = queue.rank.minimumShare
        return if (minimum > 0) minOf(afterMs, backlogMs / minimum) else afterMs
    }

    /** Returns the expected time to the placement of [wanted] in milliseconds without visiting all requests. */
    fun waitMs(wanted: TrackedRequest): Double {
        var urgentMs = 0.0
        for (queue in pool.queues) {
            if (queue.rank.rank ==
                wanted.rank.rank
            ) {
                return waitMs(urgentMs, backlogMs(queue, wanted), shareOf(queue), queue)
            }
            urgentMs += drainTimeMs(queue.tokens, queue.size, freePlacesFor(queue))
        }
        return urgentMs
    }

    private fun backlogMs(queue: RankQueue, wanted: TrackedRequest): Double {
        var tokens = 0.0
        var requests = 1
        for (track in queue.requests) {
            if (track === wanted) break
            requests++
            tokens += track.prefillTokens
        }
        return drainTimeMs(tokens, requests, freePlacesFor(queue))
    }

    /** Returns the expected time from the placement of [track] to its first token, in milliseconds. */
    fun serviceMs(track: TrackedRequest): Double = prefillAheadMs + idleServiceMs(track)

    /** Returns the expected time to the first token of [track] on idle servers, in milliseconds. */
    fun idleServiceMs(track: TrackedRequest): Double {
        val bytes = track.prefillTokens.toDouble() * pool.kvBytesPerToken
        val transferMs = if (capacity.linkBytesPerMs > 0) bytes / capacity.linkBytesPerMs else 0.0
        return track.prefillTokens / capacity.fastestTokensPerMs + transferMs + DECODE_STEP_MS
    }

    /** Returns the share of the capacity left for [queue] if more urgent work continues at its recent rate. */
    private fun shareOf(queue: RankQueue): Double {
        var urgent = 0.0
        var all = 0.0
        for (other in pool.queues) {
            val work = other.placedWork.valueAt(nowMs)
            all += work
            if (other.rank.order < queue.rank.order) urgent += work
        }
        if (all <= 0) return 1.0
        return maxOf(1 - urgent / all, queue.rank.minimumShare, MIN_SHARE)
    }

    private companion object {
        const val MIN_RATE = 1e-4
        const val MIN_SHARE = 0.02
        const val DECODE_STEP_MS = 40.0
    }
}
