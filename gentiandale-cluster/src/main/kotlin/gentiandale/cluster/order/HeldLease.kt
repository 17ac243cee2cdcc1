package gentiandale.cluster.order

import gentiandale.core.FencingNumber

/** Whether an order may be sent now. */
public sealed interface OrderPermit {
    /** It may be sent with [fencing], and expires [expiresInMs] milliseconds from now. */
    public data class Granted(val fencing: FencingNumber, val expiresInMs: Long) : OrderPermit

    /** It must not be sent, for [reason]. */
    public data class Denied(val reason: String) : OrderPermit
}

/**
 * Lease as its holder sees it. Times are read from the holder's monotonic clock.
 *
 * @param requestedMs time just before the store was asked for the current term; the lease can't have begun earlier.
 * @param acquiredMs time at which the holder received [fencing] from the store.
 */
public data class HeldLease(val fencing: FencingNumber, val requestedMs: Long, val acquiredMs: Long) {
    /** Returns the lease after a renewal requested at [requestedMs] and answered with [fencing] at [now]. */
    public fun renewed(fencing: FencingNumber, requestedMs: Long, now: Long): HeldLease =
        if (fencing == this.fencing) copy(requestedMs = requestedMs) else HeldLease(fencing, requestedMs, now)

    /** Returns whether an order may be sent at [now]. To be called right before each send, with a new clock reading. */
    public fun permit(now: Long, checksFencing: Boolean, times: OrderTimes): OrderPermit {
        val remainingMs = requestedMs + times.leaseTtlMs - times.expiryMarginMs - now
        val waitMs = acquiredMs + times.takeoverWaitMs - now
        return when {
            remainingMs <= 0 -> OrderPermit.Denied("the lease expired or expires within ${times.expiryMarginMs} ms")
            checksFencing || waitMs <= 0 -> OrderPermit.Granted(fencing, remainingMs)
            else -> OrderPermit.Denied("orders of the previous lease holder may still arrive for $waitMs ms")
        }
    }
}
