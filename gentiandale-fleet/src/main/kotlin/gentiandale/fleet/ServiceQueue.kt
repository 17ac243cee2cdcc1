package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.ServiceName
import gentiandale.core.capacity.CapacityRequest
import gentiandale.core.log.EventLog
import kotlin.random.Random

/** Requests that wait for capacity of one [service], and the grants that no load contains yet. */
internal class ServiceQueue(val service: ServiceName, random: Random, private val log: EventLog) {
    private class OpenGrant(
        val request: WaitingRequest,
        val server: ServerId,
        val named: ServerId?,
        val untilMs: Long,
    )

    private val waiting = LinkedHashMap<RequestKey, WaitingRequest>()
    private val openGrants = LinkedHashMap<RequestKey, OpenGrant>()
    private val shares = FairShare()
    private val order = CapacityOrder(shares)
    private val forecast = CapacityForecast(random)
    private val contention = ContentionRule()
    private var granted = 0L
    private var refused = 0L
    private var waitMs = 0L

    /** Whether requests of the service must ask for capacity. */
    val isContended: Boolean get() = contention.isContended

    /** Requests that wait, and what was decided. */
    val status: CapacityStatus get() = CapacityStatus(service, waiting.size, granted, refused, waitMs)

    /** Whether nothing is known that another request would need. */
    val isIdle: Boolean get() = waiting.isEmpty() && openGrants.isEmpty() && !isContended

    /**
     * Adds the [request] of [vm], or replaces an earlier message with it. Returns a decision if there is one at once; a
     * request whose grant is open gets the same one again, as its VM repeats only what has not arrived.
     */
    fun add(vm: VmId, request: CapacityRequest, pool: CapacityPool, nowMs: Long): CapacityDecision? {
        val added = WaitingRequest(vm, request, nowMs)
        openGrants[added.key]?.let { open ->
            return CapacityDecision.Granted(vm, request.number, open.named, open.untilMs - nowMs)
        }
        val known = waiting[added.key]
        if (known == null && waiting.values.none { it.share == added.share }) {
            shares.join(added.share, waiting.values.mapTo(HashSet()) { it.share }, nowMs)
        }
        known?.let { added.passed = it.passed }
        waiting[added.key] = added
        return refusal(added, pool, nowMs)
    }

    /** Removes the request [key], which no longer waits. */
    fun cancel(key: RequestKey) {
        waiting -= key
    }

    /** Removes all requests of [vm]. */
    fun remove(vm: VmId) {
        waiting.keys.removeIf { it.vm == vm }
        openGrants.keys.removeIf { it.vm == vm }
    }

    /** Removes all requests, which another control VM will order. */
    fun clear() {
        waiting.clear()
        openGrants.clear()
    }

    /** Closes the grant to [key], which the loads contain now. */
    fun close(key: RequestKey) {
        openGrants -= key
    }

    /** Closes expired grants, and returns the VMs that have not used them. */
    fun expireGrants(nowMs: Long): List<VmId> {
        val expired = openGrants.values.filter { nowMs >= it.untilMs }
        expired.forEach { openGrants -= it.request.key }
        return expired.map { it.request.vm }
    }

    /** Records that [count] requests have ended. */
    fun onCompleted(count: Int, nowMs: Long): Unit = forecast.onCompleted(count, nowMs)

    /** Returns the decisions that are due at [nowMs] with the servers of [pool]. */
    fun advance(pool: CapacityPool, nowMs: Long): List<CapacityDecision> {
        openGrants.values.forEach { pool.occupy(it.server, it.request.request.tokens) }
        val decisions = ArrayList<CapacityDecision>()
        waiting.values.filter { pool.isEmpty || it.isHopeless(nowMs) }
            .mapNotNullTo(decisions) { refusal(it, pool, nowMs) }
        while (true) {
            val next = order.next(waiting.values, nowMs) { pool.find(it.request.tokens) != null } ?: break
            val server = pool.find(next.request.tokens) ?: break
            decisions += grant(next, server, pool, nowMs)
        }
        forecast.onWaiting(waiting.isNotEmpty(), nowMs)
        shares.tick(nowMs)
        if (contention.update(waiting.isNotEmpty(), pool.usage, nowMs)) {
            log.write(CapacityLogEvent.ContentionChanged(status, isContended, pool.usage))
        }
        return decisions
    }

    private fun grant(next: WaitingRequest, server: ServerId, pool: CapacityPool, nowMs: Long): CapacityDecision {
        forecast.onWaiting(waiting.size > 1, nowMs)
        waiting -= next.key
        val named = server.takeIf { pool is CapacityPool.Plain }
        openGrants[next.key] = OpenGrant(next, server, named, nowMs + VALIDITY_MS)
        pool.occupy(server, next.request.tokens)
        val work = shares.work(next.share, nowMs)
        order.onGranted(next, nowMs)
        forecast.onGranted(nowMs)
        granted++
        waitMs += nowMs - next.startMs
        log.write(CapacityLogEvent.Granted(next, server, waiting.size, work, nowMs))
        return CapacityDecision.Granted(next.vm, next.request.number, named, VALIDITY_MS)
    }

    /** Removes and refuses [request] if it gets no capacity before its deadline. */
    private fun refusal(request: WaitingRequest, pool: CapacityPool, nowMs: Long): CapacityDecision? {
        val leftMs = request.deadlineMs - nowMs
        val durationMs = request.request.durationMs
        val ahead = order.ahead(request, waiting.values, nowMs)
        val waitMs = forecast.waitMs(ahead, pool.places, durationMs)
        val reason = when {
            pool.isEmpty -> "no-server"
            request.isHopeless(nowMs) -> "deadline"
            waitMs != null && waitMs + durationMs > leftMs -> "no-capacity"
            else -> return null
        }
        waiting -= request.key
        refused++
        val retryMs = forecast.retryAfterMs(waitMs ?: leftMs, leftMs)
        log.write(CapacityLogEvent.Refused(request, reason, ahead, waitMs, retryMs, nowMs))
        return CapacityDecision.Refused(request.vm, request.request.number, reason, retryMs)
    }

    companion object {
        /** A grant is valid for this time in milliseconds, several round trips between data centres. */
        const val VALIDITY_MS = 150L
    }
}
