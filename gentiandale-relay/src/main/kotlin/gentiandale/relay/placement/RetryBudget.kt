package gentiandale.relay.placement

/**
 * Limits the repeated sends of all entry VMs to one service, in any window of [windowMs] milliseconds, to a share of
 * its requests plus a fixed number. Each VM spends its own part, so that a retry needs no coordination.
 *
 * @param ratio retries per request.
 * @param minimum retries allowed per window regardless of the number of requests, for all VMs together.
 */
public class RetryBudget(
    private val ratio: Double,
    private val minimum: Int,
    private val windowMs: Long,
) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Number of VMs among which [minimum] is divided. */
    public var vmCount: Int = DEFAULT_VM_COUNT
        set(value) {
            field = value.coerceAtLeast(1)
        }

    /** Returns the number of retries that may still be sent at [nowMs]. */
    public fun remaining(nowMs: Long): Int {
        expire(nowMs)
        val allowed = USABLE_SHARE * (ratio * requests.size + minimum.toDouble() / vmCount)
        return allowed.toInt() - retries.size
    }

    /** Records a request of a caller at [nowMs]. */
    public fun onRequest(nowMs: Long) {
        expire(nowMs)
        requests.addLast(nowMs)
    }

    /** Charges one retry at [nowMs], or returns false if the budget is exhausted. */
    public fun tryTake(nowMs: Long): Boolean {
        if (remaining(nowMs) <= 0) return false
        retries.addLast(nowMs)
        return true
    }

    /** Charges a retry at [nowMs] that was charged at [chargedMs] and has not been sent, or returns false. */
    public fun renew(chargedMs: Long, nowMs: Long): Boolean {
        expire(nowMs)
        if (!retries.remove(chargedMs)) return tryTake(nowMs)
        retries.addLast(nowMs)
        return true
    }

    /** Returns a retry that was charged at [chargedMs] and has not been sent. */
    public fun refund(chargedMs: Long) {
        retries.remove(chargedMs)
    }

    private fun expire(nowMs: Long) {
        while (requests.isNotEmpty() && requests.first() <= nowMs - windowMs) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() <= nowMs - windowMs) retries.removeFirst()
    }

    private companion object {
        /** Used until the number of VMs is known; more than any present deployment has. */
        const val DEFAULT_VM_COUNT = 120

        /** Usable share of the budget, since arrivals at the servers lag the sends and the windows do not coincide. */
        const val USABLE_SHARE = 0.8
    }
}
