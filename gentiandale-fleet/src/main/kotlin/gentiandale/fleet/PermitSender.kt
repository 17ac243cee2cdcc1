package gentiandale.fleet

import gentiandale.core.VmId

/** Part of a control VM in the permits for requests to servers that have named a limit. */
internal class PermitSender(
    private val self: VmId,
    private val controlVms: ControlVmRegistry,
    private val sender: FleetSender,
) {
    private val issuer = PermitIssuer()

    /**
     * Issues permits, or passes the request on. The lowest control VM issues them for all, and a VM that doesn't reach
     * it asks another one; each hop is to a lower VM, so that no request goes round in a circle.
     */
    fun onRequest(from: VmId, message: FleetMessage.PermitRequest, nowMs: Long) {
        val route = message.via + from
        val lowest = controlVms.reachable(nowMs).minOrNull()
        if (lowest != null && lowest < self) return sender.send(lowest, message.copy(via = route))
        issuer.request(route, message.limit, message.wanted, nowMs)
        val isGranted = issue(nowMs).any { it.vm == route.first() && it.server == message.limit.server }
        if (!isGranted) send(IssuedPermits(route, message.limit.server, message.limit.incarnation, 0))
    }

    /** Sends the permits that are due at [nowMs], and returns them. */
    fun issue(nowMs: Long): List<IssuedPermits> = issuer.issue(nowMs).onEach(::send)

    private fun send(issued: IssuedPermits) = passOn(
        FleetMessage.Permits(
            issued.server,
            issued.incarnation,
            issued.count,
            PermitIssuer.VALIDITY_MS,
            via = issued.route,
        ),
    )

    /** Passes [permits] on to the next VM of their way, if they are not for this one. */
    fun passOn(permits: FleetMessage.Permits) {
        val next = permits.via.lastOrNull() ?: return
        sender.send(next, permits.copy(via = permits.via.dropLast(1)))
    }
}
