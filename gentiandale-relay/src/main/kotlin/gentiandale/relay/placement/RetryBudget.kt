package gentiandale.relay.placement

/**
 * Bound of the repeated sends of all entry VMs to one service: a share of its requests and a fixed number, in any span
 * of [windowMs] milliseconds. Each VM spends its own part, so that nothing has to be asked before a repeat.
 *
 * @param ratio repeats for each request.
 * @param minimum repeats that are allowed in each window whatever the requests, for all VMs together.
 */
public class RetryBudget(
    private val ratio: Double,
    private val minimum: Int,
    private val windowMs: Long,
) {
    private val requests = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Number of VMs that share the budget. */
    public var vmCount: Int = DEFAULT_VM_COUNT
        set(value) {
            field = value.coerceAtLeast(1)
        }

    /** Repeats that may still be sent at [nowMs]. */
    public fun remaining(nowMs: Long): Int {
        expire(nowMs)
        val allowed = USABLE_SHARE * (ratio * requests.size + minimum.toDouble() / vmCount)
        return allowed.toInt() - repeats.size
    }

    /** Notes a request of a caller. */
    public fun onRequest(nowMs: Long) {
        expire(nowMs)
        requests.addLast(nowMs)
    }

    /** Takes one repeat at [nowMs], or returns false if none is left. */
    public fun tryTake(nowMs: Long): Boolean {
        if (remaining(nowMs) <= 0) return false
        repeats.addLast(nowMs)
        return true
    }

    private fun expire(nowMs: Long) {
        while (requests.isNotEmpty() && requests.first() <= nowMs - windowMs) requests.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() <= nowMs - windowMs) repeats.removeFirst()
    }

    private companion object {
        /** Assumed until the number of VMs is known; more than any deployment of today has. */
        const val DEFAULT_VM_COUNT = 20

        /** Part of the budget that is used: arrivals at the servers lag the sends, so windows do not coincide. */
        const val USABLE_SHARE = 0.8
    }
}
