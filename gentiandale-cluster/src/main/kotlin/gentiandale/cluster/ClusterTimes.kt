package gentiandale.cluster

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.log10
import kotlin.math.max

/**
 * Timing and fan-out of the protocol among the entry VMs. All VMs of a fleet use the same values.
 *
 * @param tickMs time between two calls of [ClusterCore.tick].
 * @param probePeriodMs time between two probes that a VM starts, and the timeout of a probe.
 * @param directTimeoutMs time after which the target of an unanswered ping is also pinged through other VMs.
 * @param indirectProbes number of VMs that are asked to ping the target of an unanswered ping.
 * @param suspicionMs suspicion timeout for up to ten VMs; it grows with the decimal logarithm of their number.
 * @param rumorPeriodMs time between two rounds of gossip.
 * @param fanout number of VMs that one round of gossip is sent to.
 * @param syncPeriodMs mean time between two comparisons of tables that a VM opens.
 * @param joinPeriodMs the same until the first comparison after the start is answered.
 * @param reconnectPeriodMs time between two pings to VMs marked as dead; they detect that a partition has healed.
 * @param tombstoneMs retention of the rows of VMs that are dead or have left, and of servers that are gone.
 * @param serverSilenceMs time without a report after which a backend server gets no new work.
 * @param serverTimeoutMs time without a report after which a backend server is marked as gone.
 * @param ownershipGraceMs additional time that a server has to send its first report to a new owner.
 * @param pauseThresholdMs time between two ticks from which the process is taken to have been paused.
 */
public data class ClusterTimes(
    val tickMs: Long = 100,
    val probePeriodMs: Long = 1_000,
    val directTimeoutMs: Long = 300,
    val indirectProbes: Int = 3,
    val suspicionMs: Long = 4_000,
    val rumorPeriodMs: Long = 200,
    val fanout: Int = 3,
    val syncPeriodMs: Long = 15_000,
    val joinPeriodMs: Long = 1_000,
    val reconnectPeriodMs: Long = 2_000,
    val tombstoneMs: Long = 600_000,
    val serverSilenceMs: Long = 1_500,
    val serverTimeoutMs: Long = 3_000,
    val ownershipGraceMs: Long = 5_000,
    val pauseThresholdMs: Long = 1_000,
) {
    /** Returns the time after which a suspected VM is marked as dead in a fleet of [members] VMs. */
    public fun suspicionMs(members: Int): Long = (suspicionMs * max(1.0, log10(members.toDouble()))).toLong()

    /** Returns the rounds of gossip after which a row has very likely reached all of [members] VMs. */
    public fun rumorRounds(members: Int): Int =
        max(1, ceil((ln(max(1, members).toDouble()) + MISS_EXPONENT) / fanout).toInt())

    private companion object {
        /** The probability that gossip misses any VM is about e to the power of minus this value. */
        const val MISS_EXPONENT = 8.0
    }
}
