package gentiandale.relay.quota

import gentiandale.core.customer.CustomerQuota
import kotlin.random.Random

/** Usage of one customer on one VM. */
internal class QuotaAccount(var quota: CustomerQuota) {
    /**
     * Cost of the requests that were admitted since the start of the process.
     *
     * @param used in all.
     * @param free at once from the allowance.
     * @param local in fallback.
     */
    data class Usage(val used: Long = 0, val free: Long = 0, val local: Long = 0)

    var usage = Usage()
        private set

    /** Usage that the issuer has confirmed. */
    var confirmed = Usage()

    /** Whether the issuer is asked for every request. */
    var isStrict = false

    /** Time until which the balance is known to be negative. */
    var closedUntilMs = Long.MIN_VALUE / 2
    private var share: Share? = null

    /** Usage that was admitted from the allowance and is not confirmed. */
    val unconfirmed: Long get() = usage.free - confirmed.free

    /** Unconfirmed usage that the issuer is to charge even if it does not know the earlier reports. */
    val recent: Long get() = (usage.used - usage.local) - (confirmed.used - confirmed.local)

    private class Share(var level: Double, var refilledMs: Long)

    fun add(cost: Long, kind: AdmissionKind) {
        usage = when (kind) {
            AdmissionKind.RELAXED -> usage.copy(used = usage.used + cost, free = usage.free + cost)
            AdmissionKind.GRANTED -> usage.copy(used = usage.used + cost)
            AdmissionKind.FALLBACK -> usage.copy(used = usage.used + cost, local = usage.local + cost)
        }
    }

    /** Takes back what was added for a request that has not run. */
    fun remove(cost: Long, kind: AdmissionKind) {
        add(-cost, kind)
        if (kind == AdmissionKind.FALLBACK) share?.let { it.level += cost }
    }

    /**
     * Takes [cost] from this VM's share of the quota, which may go into debt by one request. Returns the milliseconds
     * until a request is admitted, or 0 if this one is.
     *
     * @param perMs share of the rate in cost a millisecond.
     * @param limit share of the burst.
     */
    fun takeShare(cost: Long, perMs: Double, limit: Double, nowMs: Long, random: Random): Double {
        // A random start keeps the VMs from using their first requests at the same time.
        val present = share ?: Share(-random.nextDouble() * cost, nowMs).also { share = it }
        present.level = minOf(limit.coerceAtLeast(0.0), present.level + (nowMs - present.refilledMs) * perMs)
            .coerceAtLeast(present.level)
        present.refilledMs = nowMs
        if (present.level < 0) return -present.level / perMs
        present.level -= cost
        return 0.0
    }

    /** Ends the use of the share, as the issuer is reached again. */
    fun endShare() {
        share = null
    }
}
