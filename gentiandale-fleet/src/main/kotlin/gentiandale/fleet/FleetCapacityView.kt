package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServiceName

/**
 * The part of the state of a control VM that its [CapacityQueue] needs.
 *
 * @param entries returns the number of subscribed entry VMs.
 * @param stated returns the loads that another control VM has stated recently; empty if they are not needed.
 */
internal class FleetCapacityView(
    private val table: ServerRegistry,
    private val entries: () -> Int,
    private val stated: () -> List<AssignedLoad>,
) : CapacityView {
    private val pausedUntilMs = HashMap<ServerId, Long>()
    private var rowsByService: Map<ServiceName, List<BackendRow>>? = null

    override var rules = CapacityRules()
    override val entryCount: Int get() = entries()

    override fun rows(service: ServiceName): List<BackendRow> {
        val known = rowsByService
            ?: table.all.filter { it.state != BackendState.GONE }.groupBy { it.service }.also { rowsByService = it }
        return known[service].orEmpty()
    }

    override fun serviceOf(id: ServerId): ServiceName? = table[id]?.service

    override fun isPaused(id: ServerId, nowMs: Long): Boolean = pausedUntilMs[id]?.let { nowMs < it } ?: false

    override fun statedLoad(id: ServerId): AssignedLoad? = stated().find { it.id == id }

    /** Records that the server [id] gets no work until [untilMs]. */
    fun pause(id: ServerId, untilMs: Long) {
        pausedUntilMs[id] = untilMs
    }

    /** Must be called when rows of servers have changed. */
    fun onServersChanged() {
        rowsByService = null
    }

    /** Removes expired pauses, and rows of servers that were removed. */
    fun tick(nowMs: Long) {
        pausedUntilMs.values.removeIf { nowMs >= it }
        onServersChanged()
    }
}
