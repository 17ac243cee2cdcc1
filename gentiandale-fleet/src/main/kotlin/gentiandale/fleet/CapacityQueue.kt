package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.ServiceName
import gentiandale.core.capacity.CapacityRequest
import gentiandale.core.log.EventLog
import kotlin.random.Random

/** What the [CapacityQueue] knows of the fleet besides the loads. */
internal interface CapacityView {
    /** What the configuration in force says. */
    val rules: CapacityRules

    /** Number of subscribed entry VMs. */
    val entryCount: Int

    /** Returns the rows of the servers of [service] that have not ended. */
    fun rows(service: ServiceName): List<BackendRow>

    /** Returns the service of the server [id], or null if the server is unknown. */
    fun serviceOf(id: ServerId): ServiceName?

    /** Returns whether the server [id] gets no work at [nowMs], as it does not answer. */
    fun isPaused(id: ServerId, nowMs: Long): Boolean

    /** Returns the load of the server [id] that the control VM before this one has stated, or null. */
    fun statedLoad(id: ServerId): AssignedLoad?
}

/**
 * Order in which requests that wait at all entry VMs get capacity of services for which no entry VM can infer the load
 * from its own requests. All state is in memory: requests are repeated and loads are absolute values, so a VM that
 * begins with an empty queue knows both within a few hundred milliseconds.
 */
internal class CapacityQueue(
    private val view: CapacityView,
    private val log: EventLog,
    private val random: Random = Random.Default,
) {
    private class EntryVm(var seenMs: Long) {
        var sequence = 0L
        var sequenceMs = 0L
        var question = 0L
        var questionMs = 0L
        var unusedGrants = 0
    }

    private val loads = LoadAggregator()
    private val vms = HashMap<VmId, EntryVm>()
    private val queues = HashMap<ServiceName, ServiceQueue>()

    /** Services whose requests must ask for capacity. */
    val contended: Set<ServiceName> get() = queues.values.filter { it.isContended }.mapTo(HashSet()) { it.service }

    /** Requests that wait, and what was decided for each service. */
    val status: List<CapacityStatus> get() = queues.values.map { it.status }

    /**
     * Replaces the loads of [vm], which contain the requests of the [taken] grants. A report that a later one has
     * overtaken is ignored for up to a second, after which a lower [sequence] shows a new process of the VM.
     */
    fun onLoad(vm: VmId, reported: List<AssignedLoad>, sequence: Long, taken: List<Long>, nowMs: Long) {
        val known = onSeen(vm, nowMs)
        if (sequence != 0L) {
            if (sequence <= known.sequence && nowMs - known.sequenceMs < REORDER_MS) return
            known.sequence = sequence
            known.sequenceMs = nowMs
        }
        val changes = loads.report(vm, reported)
        changes.forEach { (id, change) -> onChange(id, change, nowMs) }
        taken.forEach { number -> queues.values.forEach { it.close(RequestKey(vm, number)) } }
    }

    private fun onChange(server: ServerId, change: Int, nowMs: Long) {
        val service = view.serviceOf(server) ?: return
        if (service !in queues && !appliesTo(service)) return
        val queue = queue(service)
        if (change < 0) queue.onCompleted(-change, nowMs)
    }

    /**
     * Adds the [requests] of [vm], and returns the decisions that are made at once, or null if a later question has
     * overtaken this one.
     */
    fun onQuestion(vm: VmId, question: Long, requests: List<CapacityRequest>, nowMs: Long): List<CapacityDecision>? {
        if (!isCurrent(vm, question, nowMs)) return null
        return requests.mapNotNull { request ->
            if (appliesTo(request.service)) {
                queue(request.service).add(vm, request, pool(request.service, nowMs), nowMs)
            } else {
                CapacityDecision.Declined(vm, request.number, request.service)
            }
        }
    }

    /** Removes the requests of [vm] with [numbers]. */
    fun onCancellation(vm: VmId, question: Long, numbers: List<Long>, nowMs: Long) {
        if (!isCurrent(vm, question, nowMs)) return
        queues.values.forEach { queue -> numbers.forEach { queue.cancel(RequestKey(vm, it)) } }
    }

    /** Returns the decisions that are due at [nowMs]. */
    fun advance(nowMs: Long): List<CapacityDecision> {
        queues.values.flatMap { it.expireGrants(nowMs) }.forEach { onUnused(it) }
        return queues.values.toList().flatMap { it.advance(pool(it.service, nowMs), nowMs) }
    }

    /** Removes what entry VMs that have fallen silent have left, and queues that are no longer needed. */
    fun tick(nowMs: Long) {
        vms.filterValues { nowMs - it.seenMs > SILENCE_MS }.keys.toList().forEach { vm ->
            vms -= vm
            loads.remove(vm)
            removeRequests(vm, "silent")
        }
        queues.values.removeIf { it.isIdle && view.rows(it.service).isEmpty() }
    }

    /** Removes all requests, which another control VM orders now. */
    fun clear(): Unit = queues.values.forEach { it.clear() }

    private fun onSeen(vm: VmId, nowMs: Long): EntryVm = vms.getOrPut(vm) { EntryVm(nowMs) }.also {
        it.seenMs = nowMs
        it.unusedGrants = 0
    }

    private fun isCurrent(vm: VmId, question: Long, nowMs: Long): Boolean {
        val known = onSeen(vm, nowMs)
        if (question <= known.question && nowMs - known.questionMs < REORDER_MS) return false
        known.question = question
        known.questionMs = nowMs
        return true
    }

    /** A VM that uses no grant and sends nothing has ended, and its requests would waste further grants. */
    private fun onUnused(vm: VmId) {
        val known = vms[vm] ?: return
        if (++known.unusedGrants == MAX_UNUSED) removeRequests(vm, "grants-unused")
    }

    private fun removeRequests(vm: VmId, reason: String) {
        val before = queues.values.sumOf { it.status.waiting }
        queues.values.forEach { it.remove(vm) }
        if (queues.values.sumOf { it.status.waiting } < before) log.write(CapacityLogEvent.VmRemoved(vm, reason))
    }

    private fun queue(service: ServiceName) = queues.getOrPut(service) { ServiceQueue(service, random, log) }

    /** Returns whether requests of [service] are ordered here, because no entry VM can infer its load. */
    private fun appliesTo(service: ServiceName): Boolean {
        val known = view.rows(service)
        val rows = known.filter { it.acceptsWork && !it.silent }.ifEmpty { known }
        val engine = view.rules.engines[service]
        val places = if (engine == null) rows.sumOf { it.places } else rows.size * engine.places
        if (!view.rules.isEnabled || places == 0) return false
        return places < view.entryCount || engine != null && view.rules.hasCustomers
    }

    private fun pool(service: ServiceName, nowMs: Long): CapacityPool {
        val rows = view.rows(service).filter { it.acceptsWork && !it.silent && !view.isPaused(it.id, nowMs) }
        val engine = view.rules.engines[service] ?: return CapacityPool.Plain(rows, ::load)
        return CapacityPool.Engines(rows, engine, ::load)
    }

    /** Returns the load of [id], or the stated one if that is larger, as not all entry VMs may have reported here. */
    private fun load(id: ServerId): AssignedLoad {
        val reported = loads.load(id)
        val stated = view.statedLoad(id) ?: return reported
        return if (stated.running > reported.running) stated else reported
    }

    private companion object {
        /** Messages that are older than another one by more than this come from a new process of the entry VM. */
        const val REORDER_MS = 1_000L

        /** An entry VM with load or requests sends several messages in this time. */
        const val SILENCE_MS = 3_000L

        /** Unused grants in a row without a message. */
        const val MAX_UNUSED = 2
    }
}
