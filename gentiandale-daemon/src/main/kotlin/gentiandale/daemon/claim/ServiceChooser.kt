package gentiandale.daemon.claim

import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.DataCentreId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import java.util.concurrent.ConcurrentHashMap

/**
 * Orders the servers of a plain service: those of this data centre first, then by the running calls that they report
 * plus those of this VM.
 */
internal class ServiceChooser(private val board: Blackboard, private val dataCentre: DataCentreId) {
    private val running = ConcurrentHashMap<ServerId, Int>()

    /** Returns the servers of [service] that are not leaving, the preferred one first. */
    fun serversOf(service: String): List<ServerFacts> = board[Board.SERVERS].values
        .filter { it.facts.kind == ServerKind.PLAIN && it.facts.service == service && !it.facts.leaving }
        .sortedWith(
            compareBy(
                { it.facts.dataCentre != dataCentre },
                { it.load.running + (running[it.facts.server] ?: 0) },
                { it.facts.server },
            ),
        )
        .map { it.facts }

    /** Runs [call] and counts it as a running call of [server] until it returns. */
    suspend fun <T> trackRunning(server: ServerId, call: suspend () -> T): T {
        running.merge(server, 1, Int::plus)
        try {
            return call()
        } finally {
            running.computeIfPresent(server) { _, n -> (n - 1).takeIf { it > 0 } }
        }
    }
}
