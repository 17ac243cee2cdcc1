package gentiandale.relay.placement

/**
 * A generation that waits for room.
 *
 * @param urgency 0 is the most urgent.
 * @param startMs monotonic time in milliseconds at which it arrived.
 * @param dueMs monotonic time in milliseconds until which its first event is in time.
 */
public class Waiting(public val urgency: Int, public val startMs: Long, public val dueMs: Long) {
    /** Makes entries for other cases than a new request. */
    public companion object {
        private const val BEFORE_ALL = -1

        /** Returns the entry of a stream that broke at [nowMs]: its caller waits, and most of it is done. */
        public fun ofBrokenStream(nowMs: Long, targetMs: Long): Waiting = Waiting(BEFORE_ALL, nowMs, nowMs + targetMs)
    }
}

/**
 * Order of generations that wait for room, and when waiting has no sense any more. It answers bursts that exceed the
 * memory of the decode servers: those that can still be in time go first, the more urgent ones before, and what is late
 * anyway takes what is left.
 */
public class WaitingOrder(private val readMs: Long = READ_MS) {
    /** Returns the order in which generations get room at [nowMs]. */
    public fun comparator(nowMs: Long): Comparator<Waiting> =
        compareBy<Waiting> { if (isLate(it, nowMs)) 1 else 0 }.thenBy { it.urgency }.thenBy { it.startMs }

    /** Returns whether [waiting] can't be in time any more. */
    public fun isLate(waiting: Waiting, nowMs: Long): Boolean = nowMs + readMs > waiting.dueMs

    /** Returns whether a newcomer is better off elsewhere or later: [ahead] generations wait already. */
    public fun isTooLong(ahead: Int): Boolean = ahead >= MAX_WAITING

    /** Returns whether the caller of [waiting] will have left before the first event, so that it is given back now. */
    public fun willBeAbandoned(waiting: Waiting, nowMs: Long): Boolean {
        val waitMs = ((waiting.dueMs - waiting.startMs) * ABANDON_FACTOR).toLong().coerceAtLeast(LEAST_WAIT_MS)
        return nowMs - waiting.startMs > waitMs
    }

    private companion object {
        /** Time from the placement to the first event: the prompt is read and its cache moved. */
        const val READ_MS = 150L

        /** Generations of one VM that wait; more would be late by several bursts. */
        const val MAX_WAITING = 12

        /** Callers leave a stream that has not begun after four times their target; the first event needs the rest. */
        const val ABANDON_FACTOR = 3.2
        const val LEAST_WAIT_MS = 1_500L
    }
}
