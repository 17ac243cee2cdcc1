package gentiandale.core.customer

/**
 * How far the requests of a customer may exceed its quota.
 *
 * @param windowMs length of the windows in which the excess is judged, in milliseconds.
 * @param over tolerated excess as a share of what the quota allows in a window.
 * @param slack tolerated excess in addition to that, as a cost.
 */
public data class QuotaBounds(val windowMs: Long = 8_000, val over: Double = 0.1, val slack: Double = 0.0) {
    /** Returns what [quota] allows in one window. */
    public fun allowed(quota: CustomerQuota): Double = quota.perSecond * windowMs / MS_PER_S + quota.burst

    /** Returns the debt down to which requests of a customer with [quota] are admitted. */
    public fun debt(quota: CustomerQuota): Double {
        val allowed = allowed(quota)
        return minOf(allowed * MAX_DEBT_SHARE, (allowed * over + slack) * DEBT_OF_TOLERANCE)
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Leaves most of the usual tolerance of 0.1 for usage that is unreported when a VM is lost. */
        const val MAX_DEBT_SHARE = 0.03

        /** Share of the tolerance that may be used as a debt; it applies if the tolerance is below 0.1. */
        const val DEBT_OF_TOLERANCE = 0.3
    }
}
