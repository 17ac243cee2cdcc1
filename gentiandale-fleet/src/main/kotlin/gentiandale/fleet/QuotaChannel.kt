package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.core.customer.QuotaReport

/** Exchanges the messages about quotas between an entry VM and the control VM that it uses, the lowest it reaches. */
internal class QuotaChannel(
    private val controlVms: ControlVmRegistry,
    private val clock: Clock,
    private val sender: FleetSender,
    private val state: SubscriberState,
) {
    /** Sends [report]; returns whether a control VM is reachable. */
    fun send(report: QuotaReport): Boolean {
        val issuer = issuer() ?: return false
        sender.send(issuer, FleetMessage.QuotaUsage(report))
        return true
    }

    /** Handles [message] from [from]. A control VM other than the one in use may believe that it issues. */
    fun receive(from: VmId, message: FleetMessage.QuotaMessage) = when (message) {
        is FleetMessage.QuotaReply -> if (from == issuer()) state.receiveQuota(message.answer) else Unit
        is FleetMessage.QuotaUsage, is FleetMessage.QuotaLevels -> Unit
    }

    private fun issuer(): VmId? = controlVms.reachable(clock.monotonicMs()).minOrNull()
}
