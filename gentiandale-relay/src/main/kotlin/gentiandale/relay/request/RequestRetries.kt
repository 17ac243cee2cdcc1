package gentiandale.relay.request

import gentiandale.core.backend.ServiceName

/**
 * Charges the repeated sends of one request to the retry budget of its [service], which all VMs share. The first send
 * is free.
 */
internal class RequestRetries(private val context: RelayContext, private val service: () -> ServiceName) {
    private var sends = 0

    /** Monotonic time in milliseconds at which the next send was charged in advance, or null. */
    private var securedMs: Long? = null

    private val budget get() = context.budgetOf(service())

    /** Counts a send. */
    fun onSend() {
        sends++
    }

    /** Charges the next send, and returns whether the budget allows it. */
    fun take(): Boolean {
        if (sends == 0) return true
        if (securedMs == null) return charge(context.nowMs())
        securedMs = null
        return true
    }

    /** Charges a call that precedes the next send, and that send, or neither if the budget doesn't allow both. */
    fun takeWithCall(): Boolean {
        val now = context.nowMs()
        val isSendDue = sends > 0 && securedMs == null
        val due = if (isSendDue) 2 else 1
        if (budget.remaining(now) < due) return false
        if (isSendDue && charge(now)) securedMs = now
        return charge(now)
    }

    /** Returns what was charged for a send that was not made. */
    fun release() {
        securedMs?.let(budget::refund)
        securedMs = null
    }

    private fun charge(nowMs: Long): Boolean {
        val allowed = budget.tryTake(nowMs)
        context.stats.onRetry(service().value, allowed)
        return allowed
    }
}
