package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog

/**
 * Messages of a control VM about the [CapacityQueue]. The lowest reachable control VM holds the queue, as it sums the
 * loads; others pass messages on to it, each hop to a lower VM. An entry VM that gets no reply from it names it in its
 * questions, and the next control VM holds the queue for such entry VMs until it hears of the lower one's loss itself.
 *
 * @param lower returns the reachable control VMs with a lower address.
 * @param subscribers returns the subscribed entry VMs.
 */
internal class CapacityDesk(
    view: CapacityView,
    private val clock: Clock,
    private val sender: FleetSender,
    log: EventLog,
    private val lower: () -> List<VmId>,
    private val subscribers: () -> Set<VmId>,
) {
    private class Route(val via: List<VmId>, val seenMs: Long)

    private val queue = CapacityQueue(view, BoundedDecisionLog(clock, log))
    private val routes = HashMap<VmId, Route>()
    private val avoidedUntilMs = HashMap<VmId, Long>()
    private var announced = emptySet<ServiceName>()
    private var wasHolder = false

    /** Starts at the time of day, so that the statements of a new process are later than those of an earlier one. */
    private var lastStatement = clock.wallMs()

    /** Monotonic time in milliseconds since which this VM holds the queue. */
    var holderSinceMs = clock.monotonicMs()
        private set

    /** Requests that wait, and what was decided for each service. */
    val status: List<CapacityStatus> get() = queue.status

    /** Handles the load of [from], which it has reported to this VM. */
    fun onLocalLoad(from: VmId, message: FleetMessage.LocalLoad) =
        onReport(from, FleetMessage.CapacityLoad(message.loads, message.sequence, message.taken))

    /** Handles [message] from the VM [from]. */
    fun receive(from: VmId, message: FleetMessage.CapacityMessage) {
        when (message) {
            is FleetMessage.CapacityReport -> onReport(from, message)
            is FleetMessage.CapacityReply -> passOn(message)
        }
    }

    private fun onReport(from: VmId, message: FleetMessage.CapacityReport) {
        val now = clock.monotonicMs()
        val route = message.via + from
        val vm = route.first()
        routes[vm] = Route(route, now)
        if (message is FleetMessage.CapacityQuestion) {
            message.avoided.forEach { avoidedUntilMs[it] = now + AVOID_MS }
        }
        // Loads count here, too, so that this VM knows them when it takes the queue over.
        if (message is FleetMessage.CapacityLoad) {
            queue.onLoad(vm, message.loads, message.sequence, message.taken, now)
        }
        val holder = holder(now)
        if (holder != null) {
            sender.send(holder, message.passedBy(route))
        } else {
            onOwnReport(vm, message, now)
            advance()
        }
    }

    private fun onOwnReport(vm: VmId, message: FleetMessage.CapacityReport, now: Long) {
        when (message) {
            is FleetMessage.CapacityQuestion -> {
                val decisions = queue.onQuestion(vm, message.question, message.requests, now) ?: return
                reply(vm, FleetMessage.CapacityWaiting(message.question))
                decisions.forEach(::send)
            }
            is FleetMessage.CapacityCancellation -> queue.onCancellation(vm, message.question, message.numbers, now)
            is FleetMessage.CapacityLoad -> Unit
        }
    }

    /** Sends the decisions that are due, and what has changed. Must be called every [ControlHub.LOAD_TICK_MS] ms. */
    fun advance() {
        val now = clock.monotonicMs()
        val isHolder = holder(now) == null
        if (isHolder && !wasHolder) holderSinceMs = now
        if (!isHolder && wasHolder) {
            queue.clear()
            announced = emptySet()
        }
        wasHolder = isHolder
        if (!isHolder || now - holderSinceMs < SETTLE_MS) return
        queue.advance(now).forEach(::send)
        if (queue.contended != announced) announce()
    }

    /** Repeats the contended services. Must be called every [ControlHub.TICK_MS] milliseconds. */
    fun tick() {
        val now = clock.monotonicMs()
        queue.tick(now)
        avoidedUntilMs.values.removeIf { now >= it }
        routes.values.removeIf { now - it.seenMs > ROUTE_MS }
        advance()
        if (wasHolder && announced.isNotEmpty()) announce()
    }

    /** Returns the control VM that holds the queue, or null if this VM does. */
    private fun holder(now: Long) = lower().filter { (avoidedUntilMs[it] ?: now) <= now }.minOrNull()

    private fun announce() {
        announced = queue.contended
        val message = FleetMessage.Contention(announced.sorted(), ++lastStatement)
        val routed = routes.filterValues { it.via.size > 1 }.keys
        (subscribers() + routed).forEach { reply(it, message) }
    }

    private fun send(decision: CapacityDecision) = reply(
        decision.vm,
        when (decision) {
            is CapacityDecision.Granted ->
                FleetMessage.CapacityGrant(decision.number, decision.server, decision.validMs)
            is CapacityDecision.Refused ->
                FleetMessage.CapacityRefusal(decision.number, decision.reason, decision.retryAfterMs)
            is CapacityDecision.Declined -> FleetMessage.CapacityDeclined(listOf(decision.number))
        },
    )

    private fun reply(vm: VmId, message: FleetMessage.CapacityReply) =
        passOn(message.passedTo(routes[vm]?.via ?: listOf(vm)))

    private fun passOn(message: FleetMessage.CapacityReply) {
        val next = message.via.lastOrNull() ?: return
        sender.send(next, message.passedTo(message.via.dropLast(1)))
    }

    private companion object {
        /**
         * A VM that has taken the queue over decides nothing for this time. Entry VMs notice the loss of the VM before
         * it up to one repetition of their questions apart, and only then report their loads to this VM.
         */
        const val SETTLE_MS = 250L

        /** An entry VM repeats its questions several times in this time. */
        const val AVOID_MS = 500L

        /** An entry VM with load or requests sends several messages in this time. */
        const val ROUTE_MS = 3_000L
    }
}
