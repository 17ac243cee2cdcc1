package gentiandale.relay

import gentiandale.core.customer.CustomerName
import gentiandale.relay.routing.KeyRefusal

/** Receives the measurements about customers and their keys. */
public interface CustomerStats {
    /** Records a request refused on account of its key; [isForwarded] if it came from another entry VM. */
    public fun onKeyRefused(reason: KeyRefusal, isForwarded: Boolean)

    /** Records that a request of a customer was not sent without a recent proof that the configuration is current. */
    public fun onLeaseMissing()

    /** Records the end of a request of [customer] that this VM took from its caller. */
    public fun onCustomerRequest(customer: CustomerName, outcome: String)

    /** Records the [decision] about a request of [customer] under its quota. */
    public fun onQuota(customer: CustomerName, decision: String)
}

/** Receives the measurements for the metrics. */
public interface RelayStats : CustomerStats {
    /** Records the end of a request on [route], with the times in milliseconds to its end and to its first byte. */
    public fun onEnded(route: String, urgency: Int, outcome: String, elapsedMs: Long, firstMs: Long?)

    /** Records a request that was refused with [status] before it was routed. */
    public fun onUnrouted(status: Int)

    /** Records a retry to [service], which the retry budget [allowed] or not. */
    public fun onRetry(service: String, allowed: Boolean)

    /** Records that a server said in an answer that it leaves or rests, as named by [kind]. */
    public fun onServerNotice(kind: String)

    /** Records an answer of a server that reached the end that its [framing] shows, and whether it [isWhole]. */
    public fun onServerAnswer(framing: String, isWhole: Boolean)

    /** Records bytes of a server that are not the answer which was due, as named by [kind]. */
    public fun onStrayAnswer(kind: String)

    /** Records that a server crashed before the answer to a request of this VM was established. */
    public fun onSuspectedCrash()

    /** Records a request that was kept away from servers, as it or a part of its prompt has crashed some. */
    public fun onQuarantined()

    /** Records a server that sent no event of a stream for some time, and the [decision] about the stream. */
    public fun onStreamSilent(decision: String)

    /** Records a stream that its caller takes up, and the [decision] about it. */
    public fun onTakenUp(decision: String)

    /** Records that no server of [service] is reached any more, or that one [isReached] again. */
    public fun onReachChanged(service: String, isReached: Boolean)

    /** Records that a request for [service] was given to another entry VM. */
    public fun onForwarded(service: String)

    /** Records a [decision] about a request that needs capacity of [service] and has waited [waitedMs] for it. */
    public fun onCapacityDecision(service: String, decision: String, waitedMs: Long)

    /** Records that [change] more requests wait for capacity of [service]; fewer if it is negative. */
    public fun onCapacityWaiting(service: String, change: Int)

    /** Provides an implementation without effect. */
    public companion object {
        /** Discards all measurements. */
        public val NONE: RelayStats = object : RelayStats {
            override fun onEnded(route: String, urgency: Int, outcome: String, elapsedMs: Long, firstMs: Long?) = Unit

            override fun onUnrouted(status: Int) = Unit

            override fun onKeyRefused(reason: KeyRefusal, isForwarded: Boolean) = Unit

            override fun onLeaseMissing() = Unit

            override fun onCustomerRequest(customer: CustomerName, outcome: String) = Unit

            override fun onRetry(service: String, allowed: Boolean) = Unit

            override fun onServerNotice(kind: String) = Unit

            override fun onServerAnswer(framing: String, isWhole: Boolean) = Unit

            override fun onStrayAnswer(kind: String) = Unit

            override fun onSuspectedCrash() = Unit

            override fun onQuarantined() = Unit

            override fun onStreamSilent(decision: String) = Unit

            override fun onTakenUp(decision: String) = Unit

            override fun onQuota(customer: CustomerName, decision: String) = Unit

            override fun onForwarded(service: String) = Unit

            override fun onReachChanged(service: String, isReached: Boolean) = Unit

            override fun onCapacityDecision(service: String, decision: String, waitedMs: Long) = Unit

            override fun onCapacityWaiting(service: String, change: Int) = Unit
        }
    }
}
