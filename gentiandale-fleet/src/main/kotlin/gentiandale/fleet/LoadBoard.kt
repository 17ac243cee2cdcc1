package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.ServerLoad

/**
 * Sum of the loads that entry VMs report. Each VM is told the load of the others, so that all of them together do not
 * place more on an engine than it holds. Reports are absolute, so a lost one is mended by the next.
 */
internal class LoadBoard {
    private val reports = HashMap<VmId, Map<ServerId, ServerLoad>>()
    private val total = HashMap<ServerId, ServerLoad>()
    private val told = HashMap<VmId, Map<ServerId, ServerLoad>>()

    /** Load of all VMs on each engine that has any. */
    val sums: List<ServerLoad> get() = total.values.filter { it != ServerLoad(it.id) }

    /** Replaces the report of [vm]. */
    fun report(vm: VmId, loads: List<ServerLoad>) {
        val after = loads.associateBy { it.id }
        val before = reports.put(vm, after).orEmpty()
        (before.keys + after.keys).forEach { id ->
            val none = ServerLoad(id)
            total[id] = (total[id] ?: none) + (after[id] ?: none) - (before[id] ?: none)
        }
    }

    /** Drops the report of [vm], which is not heard of any more. */
    fun forget(vm: VmId) {
        report(vm, emptyList())
        reports -= vm
        told -= vm
    }

    /** Returns the load of the other VMs on the servers where it has changed since [vm] was told, or on all. */
    fun newsFor(vm: VmId, all: Boolean): List<ServerLoad> {
        val own = reports[vm].orEmpty()
        val others = total.mapValues { (id, sum) -> sum - (own[id] ?: ServerLoad(id)) }
        val known = told.put(vm, others).orEmpty()
        return others.values.filter { all || it != (known[it.id] ?: ServerLoad(it.id)) }
    }
}
