package gentiandale.relay

import gentiandale.core.backend.ServiceName
import gentiandale.core.log.LogLine
import gentiandale.relay.forward.ReachChange

/** What this VM concludes about its path to the servers of [service]. */
public class ReachEvent(
    private val service: ServiceName,
    private val change: ReachChange,
    private val nowMs: Long,
) : RelayEvent(if (change is ReachChange.Lost) "servers-lost" else "servers-reached") {
    override fun describe(line: LogLine) {
        line.field("service", service.value)
        when (change) {
            is ReachChange.Lost ->
                line.field("failed", change.failed.joinToString(",") { it.value })
                    .field("last_server", change.lastReach?.server?.value)
                    .field("last_sign_ms", change.lastReach?.let { nowMs - it.atMs })
            is ReachChange.Regained -> line.field("server", change.server.value).field("lost_ms", change.lostMs)
        }
    }
}
