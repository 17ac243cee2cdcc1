package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId

/**
 * Tracks engines that entry VMs could not reach. A single VM may itself be partitioned, so two must report an engine
 * before all of them stop using it.
 */
internal class SuspicionTracker {
    private val reports = HashMap<ServerId, HashMap<VmId, Long>>()

    /** Records that [server] did not answer [vm]; returns whether all VMs should stop using it for [PAUSE_MS]. */
    fun report(server: ServerId, vm: VmId, nowMs: Long): Boolean {
        val reporters = reports.getOrPut(server) { HashMap() }
        reporters.values.removeIf { nowMs - it > REPORT_VALIDITY_MS }
        reporters[vm] = nowMs
        return reporters.size >= MIN_REPORTERS
    }

    /** Removes expired reports. */
    fun tick(nowMs: Long) {
        reports.values.forEach { reporters -> reporters.values.removeIf { nowMs - it > REPORT_VALIDITY_MS } }
        reports.values.removeIf { it.isEmpty() }
    }

    companion object {
        /** Time in milliseconds for which the entry VMs do not use a reported engine; then they try it again. */
        const val PAUSE_MS = 1_500L

        private const val MIN_REPORTERS = 2

        /** Failures further apart than this are assumed to have different causes. */
        private const val REPORT_VALIDITY_MS = 2_500L
    }
}
