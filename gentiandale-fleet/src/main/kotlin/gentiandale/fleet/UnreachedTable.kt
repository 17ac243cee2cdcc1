package gentiandale.fleet

import gentiandale.core.VmId
import gentiandale.core.backend.ServiceName

/** Services of which entry VMs have lately reported that they reach no server. */
internal class UnreachedTable {
    /**
     * The VM [vm] reaches no server of [service].
     *
     * @param sinceMs monotonic time in milliseconds of the first report without a pause.
     */
    class Report(val vm: VmId, val service: ServiceName, val sinceMs: Long) {
        /** Monotonic time in milliseconds of the last report. */
        var reportedMs = sinceMs
    }

    /** Services that a VM has begun to report, and reports that it has ended. */
    class Change(val begun: List<ServiceName>, val ended: List<Report>)

    private val reports = HashMap<VmId, HashMap<ServiceName, Report>>()

    /** Records that [vm] reaches no server of [services], and some of all others. */
    fun report(vm: VmId, services: Set<ServiceName>, nowMs: Long): Change {
        val known = reports.getOrPut(vm) { HashMap() }
        val ended = known.values.filter { it.service !in services }
        ended.forEach { known -= it.service }
        val begun = services.filter { it !in known }
        services.forEach { service -> known.getOrPut(service) { Report(vm, service, nowMs) }.reportedMs = nowMs }
        if (known.isEmpty()) reports -= vm
        return Change(begun, ended)
    }

    /** Returns whether [vm] has reported lately that it reaches no server of [service]. */
    fun isUnreached(vm: VmId, service: ServiceName, nowMs: Long): Boolean =
        reports[vm]?.get(service)?.let { isValid(it, nowMs) } ?: false

    /** Removes and returns the reports that have not been repeated. */
    fun expire(nowMs: Long): List<Report> {
        val expired = reports.values.flatMap { known -> known.values.filterNot { isValid(it, nowMs) } }
        expired.forEach { report ->
            val known = reports.getValue(report.vm)
            known -= report.service
            if (known.isEmpty()) reports -= report.vm
        }
        return expired
    }

    private fun isValid(report: Report, nowMs: Long) = nowMs - report.reportedMs <= VALIDITY_MS

    companion object {
        /** Time in milliseconds for which a message of an entry VM holds; two of three may be lost. */
        const val VALIDITY_MS = 3 * ControlHub.TICK_MS
    }
}
