package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.core.backend.ServiceName
import gentiandale.core.capacity.CapacityAnswer
import gentiandale.core.capacity.CapacityRequest

/**
 * Requests of an entry VM that wait in the [CapacityQueue] of a control VM. Questions are repeated until they are
 * answered, so that lost messages and a control VM that has restarted cost a request no more than one repetition. If
 * the control VM falls silent, the next one is asked with the age of the requests. Not thread-safe.
 *
 * @param reachable returns the control VMs that have sent a message recently.
 * @param reportLoad reports the local load, with [takenGrants], to [queueVm].
 * @param updateContention receives the services whose requests must ask for capacity when they change.
 */
internal class CapacityClient(
    private val clock: Clock,
    private val sender: FleetSender,
    private val reachable: () -> List<VmId>,
    private val reportLoad: () -> Unit,
    private val updateContention: (Set<ServiceName>) -> Unit,
) {
    private class Pending(val request: CapacityRequest, val startMs: Long, val done: (CapacityAnswer) -> Unit) {
        /** Last question with this request, and the monotonic time in milliseconds at which it was asked. */
        var question = 0L
        var askedMs = 0L

        /** Monotonic time in milliseconds since which a confirmation is overdue; null if the last one has arrived. */
        var awaitedMs: Long? = startMs
        var isQueued = false

        /** Returns the request with its times at [nowMs]. */
        fun at(nowMs: Long): CapacityRequest {
            val elapsed = nowMs - startMs
            return request.copy(
                ageMs = request.ageMs + elapsed,
                targetMs = request.targetMs - elapsed,
                leftMs = request.leftMs - elapsed,
            )
        }
    }

    private class Statement(val from: VmId, val sequence: Long, val untilMs: Long)

    private val pending = LinkedHashMap<Long, Pending>()
    private val taken = LinkedHashMap<Long, Long>()
    private val avoided = HashSet<VmId>()
    private var current: VmId? = null

    /** Monotonic time in milliseconds of the first question to [current] since its last reply, or null. */
    private var unansweredMs: Long? = null

    /** Starts at the time of day, so that the questions of a new process are later than those of an earlier one. */
    private var lastQuestion = clock.wallMs()
    private var reports = 0L
    private var contended = emptySet<ServiceName>()
    private var statement: Statement? = null

    /** Whether requests wait for an answer. */
    val isAwaited: Boolean get() = pending.isNotEmpty()

    /** Returns the control VM that sums the loads and holds the queue for this VM, or null if none is reachable. */
    fun queueVm(): VmId? = askedVm() ?: reachable().minOrNull()

    private fun askedVm() = reachable().filter { it !in avoided }.minOrNull()

    /** Asks for capacity for [request]; [done] is called once with the answer unless the request is cancelled. */
    fun request(request: CapacityRequest, done: (CapacityAnswer) -> Unit) {
        val now = clock.monotonicMs()
        follow(now)
        if (current == null || pending.size >= MAX_PENDING) return done(CapacityAnswer.Unanswered)
        val added = Pending(request, now, done)
        pending[request.number] = added
        ask(listOf(added), now)
    }

    /** Withdraws the request [number] of [service]. */
    fun cancel(service: ServiceName, number: Long) {
        if (pending[number]?.request?.service != service) return
        pending -= number
        withdraw(listOf(number), current)
    }

    /** Handles [reply] of the control VM [from]. */
    fun receive(from: VmId, reply: FleetMessage.CapacityReply) {
        if (from == current) unansweredMs = null
        when (reply) {
            is FleetMessage.CapacityWaiting -> pending.values.filter { it.question == reply.question }.forEach {
                it.awaitedMs = null
                it.isQueued = true
            }
            is FleetMessage.CapacityGrant -> onGrant(reply)
            is FleetMessage.CapacityRefusal ->
                pending.remove(reply.number)?.done?.invoke(CapacityAnswer.Refused(reply.reason, reply.retryAfterMs))
            is FleetMessage.CapacityDeclined -> reply.numbers.mapNotNull(pending::remove).forEach(::giveUp)
            is FleetMessage.Contention -> if (from == queueVm()) onContention(from, reply)
        }
    }

    /** Records that the VM [from] has sent a message, so that it may be asked again. */
    fun onMessage(from: VmId) {
        avoided -= from
    }

    /** Returns the numbers of the grants that have arrived lately, for a report of the load. */
    fun takenGrants(): List<Long> {
        reports++
        val now = clock.monotonicMs()
        taken.values.removeIf { now - it > TAKEN_MS }
        return taken.keys.toList().takeLast(MAX_TAKEN)
    }

    /** Repeats unconfirmed questions, and ends requests without an answer. */
    fun tick() {
        val now = clock.monotonicMs()
        statement?.takeIf { now >= it.untilMs }?.let {
            statement = null
            contend(emptySet())
        }
        if (pending.isEmpty()) return
        val silent = unansweredMs?.let { now - it >= TIMEOUT_MS } ?: false
        if (silent) current?.let(avoided::add)
        val isMoved = follow(now)
        val expired = pending.values.filter { isExpired(it, isMoved, now) }
        expired.forEach { pending -= it.request.number }
        val due = pending.values.filter { now - it.askedMs >= if (it.awaitedMs == null) REPEAT_MS else RETRY_MS }
        due.chunked(MAX_REQUESTS).forEach { ask(it, now) }
        withdraw(expired.map { it.request.number }, current)
        expired.forEach(::giveUp)
    }

    private fun isExpired(request: Pending, isMoved: Boolean, now: Long): Boolean {
        if (current == null) return true
        if (isMoved && request.isQueued) return false
        return request.awaitedMs?.let { now - it >= TIMEOUT_MS } ?: false
    }

    private fun giveUp(request: Pending) = request.done(CapacityAnswer.Unanswered)

    /** Turns to the control VM that holds the queue now, if that is another one, and returns whether it is. */
    private fun follow(now: Long): Boolean {
        val vm = askedVm()
        if (vm == current) return false
        withdraw(pending.keys.toList(), current)
        current = vm
        unansweredMs = null
        if (vm == null || pending.isEmpty()) return true
        // The queue of the other VM needs to know what runs before it grants anything.
        reportLoad()
        pending.values.filter { it.isQueued }.forEach { it.awaitedMs = now }
        pending.values.chunked(MAX_REQUESTS).forEach { ask(it, now) }
        return true
    }

    private fun ask(requests: List<Pending>, now: Long) {
        val vm = current ?: return
        val question = ++lastQuestion
        requests.forEach {
            it.question = question
            it.askedMs = now
            if (it.awaitedMs == null) it.awaitedMs = now
        }
        if (unansweredMs == null) unansweredMs = now
        sender.send(vm, FleetMessage.CapacityQuestion(question, requests.map { it.at(now) }, avoided.toList()))
    }

    private fun withdraw(numbers: List<Long>, vm: VmId?) {
        if (vm == null || numbers.isEmpty()) return
        sender.send(vm, FleetMessage.CapacityCancellation(++lastQuestion, numbers))
    }

    /** A grant whose request no longer waits is reported as taken, too, so that its capacity goes to another one. */
    private fun onGrant(grant: FleetMessage.CapacityGrant) {
        taken[grant.number] = clock.monotonicMs()
        val before = reports
        pending.remove(grant.number)?.done?.invoke(CapacityAnswer.Granted(grant.server, grant.validMs))
        if (reports == before) reportLoad()
    }

    private fun onContention(from: VmId, message: FleetMessage.Contention) {
        val known = statement
        if (known != null && known.from == from && known.sequence >= message.sequence) return
        statement = Statement(from, message.sequence, clock.monotonicMs() + STATEMENT_MS)
        contend(message.services.toSet())
    }

    private fun contend(services: Set<ServiceName>) {
        if (services == contended) return
        contended = services
        updateContention(services)
    }

    private companion object {
        /** Time after which a request is placed without an answer; part of the time that a caller would notice. */
        const val TIMEOUT_MS = 150L

        /** An unconfirmed question is repeated after this time, several round trips between data centres. */
        const val RETRY_MS = 60L

        /** A confirmed question is repeated after this time, so that a restarted control VM learns of it. */
        const val REPEAT_MS = 200L

        /** A statement of contended services holds for two of the intervals in which it is repeated. */
        const val STATEMENT_MS = 1_000L

        /** Longer than a grant is valid and its VM needs to report it. */
        const val TAKEN_MS = 300L

        /** Grants named in one report; more than a VM gets in [TAKEN_MS] from a service that needs a queue. */
        const val MAX_TAKEN = 64

        /** Requests in one message of a few kilobytes. */
        const val MAX_REQUESTS = 32

        /** Requests at once, above which they are placed without asking. */
        const val MAX_PENDING = 10_000
    }
}
