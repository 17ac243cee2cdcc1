package gentiandale.fleet

import gentiandale.core.DataCentreId
import gentiandale.core.VmId
import gentiandale.core.backend.ForwardPeer
import gentiandale.core.log.EventLog

/**
 * Tells entry VMs that reach no server of a service to which others they can forward requests.
 *
 * @param startMs monotonic time in milliseconds at which this control VM started.
 */
internal class ForwardPeerIssuer(private val startMs: Long, private val log: EventLog) {
    /**
     * An entry VM that has subscribed to this control VM.
     *
     * @param dataCentre null if the VM has not stated it, which it does only if it takes forwarded requests.
     * @param seenMs monotonic time in milliseconds of the last subscription.
     */
    class Subscriber(val vm: VmId, val dataCentre: DataCentreId?, val seenMs: Long)

    private val unreached = UnreachedTable()

    /**
     * Records the [message] of [from], and returns the answers. While this VM may not have heard of all others yet, it
     * doesn't say that there are no peers.
     */
    fun onUnreached(
        from: VmId,
        message: FleetMessage.Unreached,
        subscribers: Collection<Subscriber>,
        nowMs: Long,
    ): List<FleetMessage> {
        val reported = message.services.take(MAX_SERVICES).toSet()
        val change = unreached.report(from, reported, nowMs)
        change.ended.forEach { logEnd(it, nowMs, isExpired = false) }
        if (reported.isEmpty()) return emptyList()
        val candidates = subscribers.filter { nowMs - it.seenMs <= UnreachedTable.VALIDITY_MS }
            .filterNot { subscriber -> reported.all { unreached.isUnreached(subscriber.vm, it, nowMs) } }
            .mapNotNull { subscriber -> subscriber.dataCentre?.let { ForwardPeer(subscriber.vm, it) } }
        val choice = ForwardPeerChoice(from, subscribers.find { it.vm == from }?.dataCentre, candidates)
        val answers = reported.map { service ->
            FleetMessage.ForwardPeers(service, choice.choose { unreached.isUnreached(it, service, nowMs) })
        }
        answers.filter { it.service in change.begun }
            .forEach { log.write(FleetLogEvent.ServiceUnreached(from, it.service, it.peers.size)) }
        val digest = ForwardPeerLists.digest(answers.associate { it.service to it.peers })
        if (digest == message.digest) return listOf(FleetMessage.ForwardPeersCurrent(digest))
        return answers.filter { it.peers.isNotEmpty() || nowMs - startMs > SETTLE_TIME_MS }
    }

    /** Forgets reports that have not been repeated. */
    fun tick(nowMs: Long) {
        unreached.expire(nowMs).forEach { logEnd(it, nowMs, isExpired = true) }
    }

    private fun logEnd(report: UnreachedTable.Report, nowMs: Long, isExpired: Boolean) =
        log.write(FleetLogEvent.ServiceReached(report.vm, report.service, nowMs - report.sinceMs, isExpired))

    companion object {
        /** Most services of a report that are recorded. */
        const val MAX_SERVICES = 64

        /** Entry VMs state their data centre every two seconds. */
        const val SETTLE_TIME_MS = 2_500L
    }
}
