package gentiandale.relay.placement

/**
 * A generation that waits for room.
 *
 * @param urgency 0 is the most urgent.
 * @param startMs monotonic time in milliseconds at which it arrived.
 * @param dueMs monotonic time in milliseconds until which its first event is in time.
 */
public class QueuedGeneration(public val urgency: Int, public val startMs: Long, public val dueMs: Long) {
    /** Makes entries for other cases than a new request. */
    public companion object {
        private const val MOST_URGENT = -1

        /** Returns the entry of a stream that broke at [nowMs]: its caller waits, and most of it is done. */
        public fun ofBrokenStream(nowMs: Long, targetMs: Long): QueuedGeneration = QueuedGeneration(MOST_URGENT, nowMs, nowMs + targetMs)
    }
}

/**
 * Order of generations that wait for room, and when waiting has no sense any more. It answers bursts that exceed the
 * memory of the decode servers: those that can still be in time go first, the more urgent ones before, and what is late
 * anyway takes what is left.
 */
public class AdmissionOrder(private val prefillMs: Long = PREFILL_MS) {
    /** Returns the order in which generations get room at [nowMs]. */
    public fun comparator(nowMs: Long): Comparator<QueuedGeneration> =
        compareBy<QueuedGeneration> { if (isLate(it, nowMs)) 1 else 0 }.thenBy { it.urgency }.thenBy { it.startMs }

    /** Returns whether [generation] can't be in time any more. */
    public fun isLate(generation: QueuedGeneration, nowMs: Long): Boolean = nowMs + prefillMs > generation.dueMs

    /** Returns whether a newcomer is better off elsewhere or later: [queued] generations wait already. */
    public fun isFull(queued: Int): Boolean = queued >= MAX_QUEUED

    /** Returns whether the caller of [generation] will have left before the first event, so that it is given back now. */
    public fun willBeAbandoned(generation: QueuedGeneration, nowMs: Long): Boolean {
        val waitMs = ((generation.dueMs - generation.startMs) * ABANDON_TARGETS).toLong().coerceAtLeast(MIN_WAIT_MS)
        return nowMs - generation.startMs > waitMs
    }

    private companion object {
        /** Time from the placement to the first event: the prompt is read and its cache moved. */
        const val PREFILL_MS = 150L

        /** Generations of one VM that wait; more would be late by several bursts. */
        const val MAX_QUEUED = 12

        /** Callers leave a stream that has not begun after four times their target; the first event needs the rest. */
        const val ABANDON_TARGETS = 3.2
        const val MIN_WAIT_MS = 1_500L
    }
}
