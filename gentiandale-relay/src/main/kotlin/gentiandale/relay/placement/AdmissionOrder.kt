package gentiandale.relay.placement

/**
 * A generation that waits for engine capacity.
 *
 * @param urgency rank of the work; 0 is the most urgent.
 * @param startMs monotonic time in milliseconds at which it arrived.
 * @param dueMs monotonic time in milliseconds by which its first event is due.
 * @param routeUrgency rank of its route, which decides among generations with the same [urgency] of their customers.
 */
public class QueuedGeneration(
    public val urgency: Int,
    public val startMs: Long,
    public val dueMs: Long,
    public val routeUrgency: Int = urgency,
) {
    /** Factory for generations that are not new requests. */
    public companion object {
        private const val MOST_URGENT = -1

        /** Returns the entry of a stream that broke at [nowMs]; it goes first, since most of its work is done. */
        public fun ofBrokenStream(nowMs: Long, targetMs: Long): QueuedGeneration =
            QueuedGeneration(MOST_URGENT, nowMs, nowMs + targetMs)
    }
}

/**
 * Order in which queued generations get engine capacity, and the limits of the queue. In a burst that exceeds the
 * memory of the decode servers, generations that can still meet their target go first, by urgency, and late ones get
 * what is left.
 */
public class AdmissionOrder(private val prefillMs: Long = PREFILL_MS) {
    /** Returns the order in which generations get capacity at [nowMs]. */
    public fun comparator(nowMs: Long): Comparator<QueuedGeneration> =
        compareBy<QueuedGeneration> { if (isLate(it, nowMs)) 1 else 0 }
            .thenBy { it.urgency }
            .thenBy { it.routeUrgency }
            .thenBy { it.startMs }

    /** Returns whether [generation] can no longer meet its target at [nowMs]. */
    public fun isLate(generation: QueuedGeneration, nowMs: Long): Boolean = nowMs + prefillMs > generation.dueMs

    /** Returns whether a queue with [queued] generations accepts no more; a retry elsewhere or later is faster. */
    public fun isFull(queued: Int): Boolean = queued >= MAX_QUEUED

    /** Returns whether the caller of [generation] will leave before its first event, so that it is refused now. */
    public fun willBeAbandoned(generation: QueuedGeneration, nowMs: Long): Boolean {
        val waitMs = ((generation.dueMs - generation.startMs) * ABANDON_TARGETS).toLong().coerceAtLeast(MIN_WAIT_MS)
        return nowMs - generation.startMs > waitMs
    }

    private companion object {
        /** Time from the placement to the first event, in which the prompt is read and its KV cache transferred. */
        const val PREFILL_MS = 150L

        /** Queue limit of one VM; a further generation would start several bursts too late. */
        const val MAX_QUEUED = 12

        /** Callers give up a stream without events after four targets; the first event takes the rest of that time. */
        const val ABANDON_TARGETS = 3.2
        const val MIN_WAIT_MS = 1_500L
    }
}
