package gentiandale.relay.request

import gentiandale.core.backend.ServiceName

/**
 * Charges the repeated sends of one request to the retry budget of its [service], which all VMs share. The budget is
 * one of arrivals at servers: the first send is free, as is the first call that only has the prompt read, and what was
 * charged for a send that reached no server pays for the next one.
 */
internal class RequestRetries(private val context: RelayContext, private val service: () -> ServiceName) {
    private var sends = 0
    private var calls = 0
    private var isLastSendCharged = false

    /** Sends that are charged and have not been made. */
    private var unused = 0

    /** Monotonic time in milliseconds at which [unused] were charged. */
    private var chargedMs = 0L

    private val budget get() = context.budgetOf(service())

    /** Whether a server may have got the request. */
    val hasSent: Boolean get() = sends + calls > 0

    /** Whether another send may be made. */
    val isAvailable: Boolean get() = unused > 0 || budget.remaining(context.nowMs()) > 0

    /** Counts a send, which is written now. */
    fun onSend() {
        isLastSendCharged = sends > 0 && unused > 0
        sends++
        if (isLastSendCharged) unused--
    }

    /** Counts a call that has the prompt read, which is written now. */
    fun onCall() {
        if (calls > 0 && unused > 0) unused--
        calls++
    }

    /** Takes the last send back, as the peer that got it has sent the request to no server. */
    fun onUnsent() {
        sends--
        if (isLastSendCharged) unused++
        isLastSendCharged = false
    }

    /** Charges the next send, and returns whether the budget allows it. */
    fun take(): Boolean {
        val allowed = secure(charge(sends))
        if (!allowed) context.stats.onRetry(service().value, allowed = false)
        return allowed
    }

    /** Charges a call that precedes the next send, and that send, or neither if the budget doesn't allow both. */
    fun takeWithCall(): Boolean = secure(charge(sends) + charge(calls))

    /** Returns what was charged for sends that were not made. */
    fun release() {
        repeat(unused) { budget.refund(chargedMs) }
        unused = 0
    }

    private fun charge(before: Int) = if (before > 0) 1 else 0

    private fun secure(count: Int): Boolean {
        val now = context.nowMs()
        unused = (1..unused).count { budget.renew(chargedMs, now) }
        chargedMs = now
        if (unused < count && count - unused > budget.remaining(now)) return false
        while (unused < count && budget.tryTake(now)) {
            unused++
            context.stats.onRetry(service().value, allowed = true)
        }
        return true
    }
}
