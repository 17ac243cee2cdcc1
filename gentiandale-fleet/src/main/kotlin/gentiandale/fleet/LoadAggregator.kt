package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.AssignedLoad

/**
 * Sums the loads that entry VMs report. Each VM receives the load of the others, so that together they do not place
 * more on an engine than it holds. Reports carry absolute values, so the next one makes up for a lost one.
 */
internal class LoadAggregator {
    private val reports = HashMap<VmId, Map<ServerId, AssignedLoad>>()
    private val totals = HashMap<ServerId, AssignedLoad>()
    private val lastSent = HashMap<VmId, Map<ServerId, AssignedLoad>>()

    /** Load of all VMs on each engine that has load. */
    val sums: List<AssignedLoad> get() = totals.values.filter { it != AssignedLoad(it.id) }

    /** Replaces the report of [vm]. */
    fun report(vm: VmId, loads: List<AssignedLoad>) {
        val after = loads.associateBy { it.id }
        val before = reports.put(vm, after).orEmpty()
        (before.keys + after.keys).forEach { id ->
            val none = AssignedLoad(id)
            totals[id] = (totals[id] ?: none) + (after[id] ?: none) - (before[id] ?: none)
        }
    }

    /** Removes the report of [vm], which has timed out. */
    fun remove(vm: VmId) {
        report(vm, emptyList())
        reports -= vm
        lastSent -= vm
    }

    /** Returns the load of the other VMs on servers where it has changed since the last call for [vm], or on [all]. */
    fun changesFor(vm: VmId, all: Boolean): List<AssignedLoad> {
        val localLoads = reports[vm].orEmpty()
        val peerLoads = totals.mapValues { (id, sum) -> sum - (localLoads[id] ?: AssignedLoad(id)) }
        val known = lastSent.put(vm, peerLoads).orEmpty()
        return peerLoads.values.filter { all || it != (known[it.id] ?: AssignedLoad(it.id)) }
    }
}
