package gentiandale.fleet

import gentiandale.core.VmId
import gentiandale.core.customer.CustomerName
import gentiandale.core.customer.CustomerQuota
import gentiandale.core.customer.QuotaAnswer
import gentiandale.core.customer.QuotaBounds
import gentiandale.core.customer.QuotaLevel
import gentiandale.core.log.EventLog

/**
 * Part of a control VM in the quotas of customers. The lowest control VM that reaches a majority issues; any other one
 * passes questions on to the lowest one that it reaches, so that no question goes round in a circle.
 */
internal class QuotaCoordinator(
    private val self: VmId,
    private val controlVms: ControlVmRegistry,
    private val sender: FleetSender,
    private val log: EventLog,
    private val bounds: QuotaBounds,
) {
    private var issuer: QuotaIssuer? = null
    private var quotas = emptyList<CustomerQuota>()
    private val gossiped = HashMap<CustomerName, Long>()
    private var announced = emptyList<CustomerName>()
    private var sentLevels = emptyList<QuotaLevel>()
    private var levelsMs = Long.MIN_VALUE / 2

    /** Balances and modes of all customers; empty on a control VM that does not issue. */
    val standings: List<QuotaStanding> get() = issuer?.standings.orEmpty()

    /** Sets the quotas of the configuration in force. */
    fun update(quotas: List<CustomerQuota>, nowMs: Long) {
        if (quotas == this.quotas) return
        this.quotas = quotas
        issuer?.update(quotas, nowMs)
        refreshRole(nowMs)
    }

    /** Handles [message] from [from]. */
    fun receive(from: VmId, message: FleetMessage.QuotaMessage, nowMs: Long) = when (message) {
        is FleetMessage.QuotaUsage -> onUsage(from, message, nowMs)
        is FleetMessage.QuotaReply -> passOn(message)
        is FleetMessage.QuotaLevels -> {
            message.levels.forEach { gossiped[it.customer] = it.level }
            issuer?.adopt(message.levels, nowMs) ?: Unit
        }
    }

    private fun onUsage(from: VmId, message: FleetMessage.QuotaUsage, nowMs: Long) {
        val route = message.via + from
        val lower = lowerVm(nowMs)
        if (lower != null) {
            if (route.size <= MAX_HOPS) sender.send(lower, message.copy(via = route))
            return
        }
        refreshRole(nowMs)
        val present = issuer
        val answer = if (present == null) NOT_ISSUING else present.receive(route.first(), message.report, nowMs)
        if (answer != null) passOn(FleetMessage.QuotaReply(answer, route))
    }

    private fun passOn(reply: FleetMessage.QuotaReply) {
        val next = reply.via.lastOrNull() ?: return
        sender.send(next, reply.copy(via = reply.via.dropLast(1)))
    }

    /** Tells the entry VM [vm], which has subscribed, the modes of all customers. */
    fun onSubscribe(vm: VmId, nowMs: Long) {
        if (quotas.isEmpty() || lowerVm(nowMs) != null) return
        refreshRole(nowMs)
        sender.send(vm, FleetMessage.QuotaReply(issuer?.status(vm) ?: NOT_ISSUING))
    }

    /** Updates the modes, and tells [entries] at once which customers have become strict. */
    fun tick(entries: Collection<VmId>, nowMs: Long) {
        refreshRole(nowMs)
        val present = issuer ?: return
        present.tick(nowMs).forEach { log.write(QuotaLogEvent.ModeChanged(it)) }
        val strict = present.strict
        // That a customer is relaxed again is not urgent, and reaches the entry VMs with their subscriptions.
        if (!announced.containsAll(strict)) {
            entries.forEach { sender.send(it, FleetMessage.QuotaReply(present.status(it))) }
        }
        announced = strict
        gossipLevels(present, nowMs)
    }

    private fun gossipLevels(present: QuotaIssuer, nowMs: Long) {
        val ageMs = nowMs - levelsMs
        if (ageMs < MIN_GOSSIP_MS || ageMs < ControlHub.TICK_MS && !hasFallen(present)) return
        levelsMs = nowMs
        sendLevels(present)
    }

    /** Returns whether a balance is so much lower than the last one sent that the next issuer must know. */
    private fun hasFallen(present: QuotaIssuer): Boolean {
        val sent = sentLevels.associate { it.customer to it.level }
        return present.standings.any { it.level < (sent[it.customer] ?: 0) - it.burst * GOSSIP_SHARE }
    }

    private fun sendLevels(present: QuotaIssuer) {
        sentLevels = present.levels
        controlVms.all.forEach { sender.send(it, FleetMessage.QuotaLevels(sentLevels)) }
    }

    private fun lowerVm(nowMs: Long): VmId? = controlVms.reachable(nowMs).filter { it < self }.minOrNull()

    private fun refreshRole(nowMs: Long) {
        val reached = controlVms.reachable(nowMs).size + 1
        val known = controlVms.all.size + 1
        val isIssuer = quotas.isNotEmpty() && lowerVm(nowMs) == null && reached * 2 > known
        val present = issuer
        if (isIssuer == (present != null)) return
        if (present == null) {
            issuer = QuotaIssuer(bounds, quotas, gossiped, nowMs)
            announced = emptyList()
        } else {
            present.tick(nowMs)
            sendLevels(present)
            issuer = null
        }
        log.write(QuotaLogEvent.RoleChanged(isIssuer, reached, known, gossiped.size))
    }

    private companion object {
        val NOT_ISSUING = QuotaAnswer(isIssuing = false)

        /** More control VMs than any deployment has. */
        const val MAX_HOPS = 16

        /** Balances that fall quickly are gossiped at this interval, so that the next issuer grants nothing twice. */
        const val MIN_GOSSIP_MS = 100L

        /** Fall of a balance, as a share of the burst, that is gossiped at once. */
        const val GOSSIP_SHARE = 0.1
    }
}
