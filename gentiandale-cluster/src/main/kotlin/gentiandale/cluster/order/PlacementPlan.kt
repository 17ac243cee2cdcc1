package gentiandale.cluster.order

import gentiandale.core.AdapterId
import gentiandale.core.AdapterRecord
import gentiandale.core.PoolRecord
import gentiandale.core.Record
import gentiandale.core.ServerFacts
import gentiandale.core.ServerKind
import gentiandale.core.VersionRecord

private data class PoolSlot(val pool: PoolRecord, val kind: ServerKind)

/** Returns the orders that bring the [servers] of one data centre to the pools that [records] define there. */
public fun planPlacement(records: List<Record>, servers: List<ServerFacts>): List<PlannedOrder> {
    val engines = servers.filter { it.kind != ServerKind.PLAIN && !it.leaving }.sortedBy { it.server }
    val pools = records.filterIsInstance<PoolRecord>().sortedBy { it.pool }
    val slots = pools.flatMap { pool ->
        List(pool.prefill) { PoolSlot(pool, ServerKind.PREFILL) } +
            List(pool.decode) { PoolSlot(pool, ServerKind.DECODE) }
    }
    val free = LinkedHashSet(engines)
    val planner = PlacementPlanner(records)
    val unfilled = slots.filter { slot ->
        val serving = free.find { planner.serves(it, slot) } ?: return@filter true
        free -= serving
        planner.orderMissingAdapters(serving, slot)
        false
    }
    unfilled.forEach { slot ->
        val cheapest = free.minByOrNull { planner.changeCost(it, slot) } ?: return@forEach
        free -= cheapest
        planner.orderReassignment(cheapest, slot)
    }
    return planner.orders
}

private class PlacementPlanner(records: List<Record>) {
    val orders = mutableListOf<PlannedOrder>()
    private val weights = records.filterIsInstance<VersionRecord>().associate {
        (it.model to it.version) to
            it.weightBytes
    }
    private val adapters = records.filterIsInstance<AdapterRecord>().groupBy({ it.model }, { it.adapter })

    fun serves(server: ServerFacts, slot: PoolSlot): Boolean = hasWeights(server, slot) && server.kind == slot.kind

    /** Criteria for the server that fills a slot, those that need the least change first. */
    private val preferences = listOf<(ServerFacts, PoolSlot) -> Boolean>(
        { server, slot -> hasWeights(server, slot) },
        { server, _ -> server.model == null },
        { server, slot -> server.model == slot.pool.model && server.kind == slot.kind },
        { server, slot -> server.model == slot.pool.model },
        { _, _ -> true },
    )

    /** Returns the cost of bringing [server] to [slot]: the index of the first of [preferences] that it meets. */
    fun changeCost(server: ServerFacts, slot: PoolSlot): Int = preferences.indexOfFirst { it(server, slot) }

    /** Adds an order if [server], which serves [slot] already, does not have exactly the adapters it needs. */
    fun orderMissingAdapters(server: ServerFacts, slot: PoolSlot) {
        val wanted = adaptersOf(slot)
        if (server.adapters == wanted) return
        add(server, slot, 0, "pool ${slot.pool.pool} needs adapters $wanted, the server has ${server.adapters}")
    }

    fun orderReassignment(server: ServerFacts, slot: PoolSlot) {
        val bytes = if (hasWeights(server, slot)) 0 else weights[slot.pool.model to slot.pool.version] ?: 0
        val wanted = "${slot.kind} of ${slot.pool.model} ${slot.pool.version}"
        val current = "${server.kind} of ${server.model} ${server.version}"
        add(server, slot, bytes, "pool ${slot.pool.pool} lacks a $wanted, the server is a $current")
    }

    private fun add(server: ServerFacts, slot: PoolSlot, bytes: Long, reason: String) {
        val pool = slot.pool
        orders += PlannedOrder(server.server, slot.kind, pool.model, pool.version, adaptersOf(slot), bytes, reason)
    }

    private fun adaptersOf(slot: PoolSlot): Set<AdapterId> = adapters[slot.pool.model].orEmpty().toSet()

    private fun hasWeights(server: ServerFacts, slot: PoolSlot) =
        server.model == slot.pool.model && server.version == slot.pool.version
}
