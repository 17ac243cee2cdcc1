package gentiandale.relay.request

import gentiandale.core.ServerId
import gentiandale.core.backend.CrashId
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.CrashTable
import gentiandale.core.backend.PromptPart
import gentiandale.core.backend.QuarantineVerdict
import gentiandale.core.log.EventLog
import gentiandale.relay.RelayEvent
import gentiandale.relay.RelayListener
import gentiandale.relay.RelayStats
import gentiandale.relay.backend.Backend
import gentiandale.relay.upstream.CrashDetector

/**
 * Keeps requests away from engines that would crash as others of their kind have made engines crash. It collects the
 * evidence of this VM and exchanges it with the other VMs. Confined to the event loop.
 */
internal class PromptQuarantine(
    private val detector: CrashDetector,
    private val nowMs: () -> Long,
    private val log: EventLog,
    private val stats: RelayStats,
    private val listener: RelayListener,
) {
    /** Known crashes and their suspects. */
    val table = CrashTable()

    /** Decides whether a request with [parts] may be sent to an engine now. */
    fun verdict(parts: List<PromptPart>): QuarantineVerdict =
        if (table.isEmpty) QuarantineVerdict.Admit else table.verdict(parts, nowMs())

    /**
     * Records that [server] broke the connection of [request] with [fingerprint] before its answer with [parts] was
     * established.
     */
    fun onBroken(request: String?, fingerprint: RequestFingerprint, server: Backend, parts: List<PromptPart>) {
        val id = CrashId(server.row.id, server.row.incarnation)
        detector.check(id, server.row.address) {
            log.write(RelayEvent.ServerCrashed(request, fingerprint.value, server.row))
            if (parts.isEmpty()) return@check
            stats.onSuspectedCrash()
            publish("crash", request, id.server, listOfNotNull(table.onCrash(id, parts, nowMs())))
        }
    }

    /** Records that an engine has answered a part of [request] and has not crashed. */
    fun onEstablished(request: String?, server: Backend, parts: List<PromptPart>) {
        if (table.isEmpty) return
        publish("cleared", request, server.row.id, table.onAnswered(parts, nowMs()))
    }

    /** Merges [records] of another VM. */
    fun merge(records: List<CrashRecord>) {
        val now = nowMs()
        records.mapNotNull { table.merge(it, now) }.forEach {
            log.write(RelayEvent.CrashEvidence("learned", null, it.id.server, it, table.size))
        }
    }

    private fun publish(kind: String, request: String?, server: ServerId, changed: List<CrashRecord>) {
        if (changed.isEmpty()) return
        changed.forEach { log.write(RelayEvent.CrashEvidence(kind, request, server, it, table.size)) }
        listener.onCrashEvidence(changed)
    }
}
