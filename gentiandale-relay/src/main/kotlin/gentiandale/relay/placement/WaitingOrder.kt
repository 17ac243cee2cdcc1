package gentiandale.relay.placement

/**
 * A generation that waits for room.
 *
 * @param urgency 0 is the most urgent.
 * @param startMs monotonic time in milliseconds at which it arrived.
 * @param dueMs monotonic time in milliseconds until which its first event is worth most.
 */
public class Waiting(public val urgency: Int, public val startMs: Long, public val dueMs: Long)

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

    /** Returns whether [waiting] has waited so long that it should be given back to its caller. */
    public fun isHopeless(waiting: Waiting, nowMs: Long): Boolean = nowMs - waiting.startMs > MAX_WAIT_MS

    private companion object {
        /** Time from the placement to the first event: the prompt is read and its cache moved. */
        const val READ_MS = 150L

        /** Generations of one VM that wait; more would be late by several bursts. */
        const val MAX_WAITING = 12

        /** A burst lasts a few seconds; after that the caller had better try another VM. */
        const val MAX_WAIT_MS = 4_000L
    }
}
