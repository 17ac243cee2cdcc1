package gentiandale.relay.request

import gentiandale.core.ServerId
import gentiandale.core.backend.CrashId
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.CrashTable
import gentiandale.core.backend.QuarantineVerdict
import gentiandale.core.backend.RequestTrait
import gentiandale.core.log.EventLog
import gentiandale.relay.RelayEvent
import gentiandale.relay.RelayListener
import gentiandale.relay.RelayStats
import gentiandale.relay.backend.Backend
import gentiandale.relay.forward.ServerMonitor
import gentiandale.relay.upstream.CrashDetector

/**
 * Keeps requests away from servers that would crash as others of their kind have made servers crash. It collects the
 * evidence of this VM and exchanges it with the other VMs. Confined to the event loop.
 */
internal class RequestQuarantine(
    private val detector: CrashDetector,
    private val monitor: ServerMonitor,
    private val nowMs: () -> Long,
    private val log: EventLog,
    private val stats: RelayStats,
    private val listener: RelayListener,
) {
    /** Known crashes and their suspects. */
    val table = CrashTable()

    /** Whether no crash is known, so that no request needs to be checked. */
    val isEmpty: Boolean get() = table.isEmpty

    /** Decides whether a request with [traits] may be sent to a server now. */
    fun verdict(traits: List<RequestTrait>): QuarantineVerdict = table.verdict(traits, nowMs())

    /**
     * Records that [server] broke the connection of [request] before its answer with [traits] was established. If no
     * other server is reached either, this VM may have lost its path to them, and the server has not crashed.
     */
    fun onBroken(request: String?, fingerprint: RequestFingerprint, server: Backend, traits: List<RequestTrait>) {
        val id = CrashId(server.row.id, server.row.incarnation)
        detector.check(id, server.row.address) {
            val crashed = table.records(nowMs()).mapTo(HashSet()) { it.id.server } + id.server
            monitor.confirmReach(server.row.service, crashed) { isReached ->
                if (isReached) onCrash(request, fingerprint, server, traits)
            }
        }
    }

    private fun onCrash(
        request: String?,
        fingerprint: RequestFingerprint,
        server: Backend,
        traits: List<RequestTrait>,
    ) {
        val id = CrashId(server.row.id, server.row.incarnation)
        log.write(RelayEvent.ServerCrashed(request, fingerprint.value, server.row))
        stats.onSuspectedCrash()
        publish("crash", request, id.server, listOfNotNull(table.onCrash(id, traits, nowMs())))
    }

    /** Records that [server] has answered a request with [traits] and has not crashed. */
    fun onEstablished(request: String?, server: Backend, traits: List<RequestTrait>) =
        publish("cleared", request, server.row.id, table.onAnswered(traits, nowMs()))

    /** Records that [request] is sent as a trial of [trait], so that other requests with it wait for the result. */
    fun onTrial(request: String?, trait: RequestTrait) =
        publish("trial", request, null, table.onTrial(trait, nowMs()))

    /** Merges [records] of another VM. */
    fun merge(records: List<CrashRecord>) {
        val now = nowMs()
        records.mapNotNull { table.merge(it, now) }.forEach {
            log.write(RelayEvent.CrashEvidence("learned", null, it.id.server, it, table.size))
        }
    }

    private fun publish(kind: String, request: String?, server: ServerId?, changed: List<CrashRecord>) {
        if (changed.isEmpty()) return
        changed.forEach { log.write(RelayEvent.CrashEvidence(kind, request, server, it, table.size)) }
        listener.onCrashEvidence(changed)
    }
}
