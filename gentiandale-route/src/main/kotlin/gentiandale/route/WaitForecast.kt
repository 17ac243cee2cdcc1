package gentiandale.route

/**
 * Forecasts when waiting requests of a pool get a place, from the work ahead of them and the rates at which prefill
 * servers read tokens and decode places free.
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

    /** Time in milliseconds that the backlog of [tokens] tokens in [requests] requests takes with [free] places. */
    private fun drainTimeMs(tokens: Double, requests: Int, free: Int): Double = maxOf(
        tokens / capacity.tokensPerMs,
        (requests - free).coerceAtLeast(0) / releasesPerMs,
    )

    /**
     * Visits waiting requests with the expected time to their placement in milliseconds, each rank in its order.
     * Those for which [visitor] returns false are left out of the backlog ahead of the others.
     */
    fun visit(visitor: (TrackedRequest, Double) -> Boolean) {
        var urgentMs = 0.0
        for (queue in pool.queues) {
            val share = shareOf(queue)
            val free = freeFor(queue)
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

    /** Returns the free places that [queue] may take. */
    private fun freeFor(queue: RankQueue): Int = (freePlaces - pool.headroom(queue, nowMs)).coerceAtLeast(0)

    /** A rank is served after the more urgent ones, or alongside them with its minimum share, whichever is sooner. */
    private fun waitMs(urgentMs: Double, ownMs: Double, share: Double, queue: RankQueue): Double {
        val afterMs = urgentMs + ownMs / share
        val minimum = queue.rank.minimumShare
        return if (minimum > 0) minOf(afterMs, ownMs / minimum) else afterMs
    }

    /** Returns the expected time to the placement of [wanted] in milliseconds, without a visit of all requests. */
    fun waitMs(wanted: TrackedRequest): Double {
        var urgentMs = 0.0
        for (queue in pool.queues) {
            if (queue.rank.rank ==
                wanted.rank.rank
            ) {
                return waitMs(urgentMs, backlogMs(queue, wanted), shareOf(queue), queue)
            }
            urgentMs += drainTimeMs(queue.tokens, queue.size, freeFor(queue))
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
        return drainTimeMs(tokens, requests, freeFor(queue))
    }

    /** Returns the expected time from the placement of [track] to its first token, in milliseconds. */
    fun serviceMs(track: TrackedRequest): Double = prefillAheadMs + ownServiceMs(track)

    /** Returns the time to the first token of [track] on idle servers, in milliseconds. */
    fun ownServiceMs(track: TrackedRequest): Double {
        val bytes = track.prefillTokens.toDouble() * pool.kvBytesPerToken
        val transferMs = if (capacity.linkBytesPerMs > 0) bytes / capacity.linkBytesPerMs else 0.0
        return track.prefillTokens / capacity.fastestTokensPerMs + transferMs + DECODE_STEP_MS
    }

    /** Returns the part of the capacity that [queue] gets while more urgent work comes as it did of late. */
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
