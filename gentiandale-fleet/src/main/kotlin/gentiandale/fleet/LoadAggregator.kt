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
    private val lastSent = HashMap<VmId, SentLoads>()
    private val changedAt = HashMap<ServerId, Long>()
    private var changeCount = 0L

    /** Loads last sent to a VM, which include all changes up to [changeCount]. */
    private class SentLoads {
        var changeCount = 0L
        val loads = HashMap<ServerId, AssignedLoad>()
    }

    /** Load of all VMs on each engine that has load. */
    val sums: List<AssignedLoad> get() = totals.values.filter { it != AssignedLoad(it.id) }

    /** Returns the load of all VMs on the server [id]. */
    fun load(id: ServerId): AssignedLoad = totals[id] ?: AssignedLoad(id)

    /** Replaces the report of [vm], and returns by how many requests more it has at servers whose load has changed. */
    fun report(vm: VmId, loads: List<AssignedLoad>): Map<ServerId, Int> {
        val after = loads.associateBy { it.id }
        val before = reports.put(vm, after).orEmpty()
        return (before.keys + after.keys).filter { before[it] != after[it] }.associateWith { id ->
            val none = AssignedLoad(id)
            totals[id] = (totals[id] ?: none) + (after[id] ?: none) - (before[id] ?: none)
            changedAt[id] = ++changeCount
            (after[id]?.running ?: 0) - (before[id]?.running ?: 0)
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
        val sent = lastSent.getOrPut(vm) { SentLoads() }
        val candidates = if (all) totals.keys else changedAt.filterValues { it > sent.changeCount }.keys
        sent.changeCount = changeCount
        return candidates.mapNotNull { id ->
            val none = AssignedLoad(id)
            val peerLoad = (totals[id] ?: none) - (localLoads[id] ?: none)
            val isKnown = peerLoad == (sent.loads[id] ?: none)
            sent.loads[id] = peerLoad
            peerLoad.takeIf { all || !isKnown }
        }
    }
}
