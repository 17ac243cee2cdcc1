package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId

/**
 * Engines that entry VMs could not reach. One VM may be cut off itself, so a second one has to agree before the others
 * pass an engine over.
 */
internal class SuspectBoard {
    private val reports = HashMap<ServerId, HashMap<VmId, Long>>()

    /** Notes that [server] did not answer [vm], and returns whether all VMs should pass it over. */
    fun report(server: ServerId, vm: VmId, nowMs: Long): Boolean {
        val of = reports.getOrPut(server) { HashMap() }
        of.values.removeIf { nowMs - it > VALID_MS }
        of[vm] = nowMs
        return of.size >= QUORUM
    }

    /** Drops reports that are too old. */
    fun tick(nowMs: Long) {
        reports.values.forEach { of -> of.values.removeIf { nowMs - it > VALID_MS } }
        reports.values.removeIf { it.isEmpty() }
    }

    companion object {
        /** Time in milliseconds for which the other VMs pass an engine over; then some of them try it again. */
        const val PAUSE_MS = 1_500L

        private const val QUORUM = 2

        /** Failures further apart than this are not of one cause. */
        private const val VALID_MS = 2_500L
    }
}
