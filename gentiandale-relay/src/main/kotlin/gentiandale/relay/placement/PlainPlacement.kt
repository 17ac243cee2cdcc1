package gentiandale.relay.placement

import gentiandale.core.DataCentreId
import gentiandale.core.ServerId
import gentiandale.relay.backend.Backend
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/**
 * Chooses the server of a plain request: the one that is expected to answer first, by its running requests, latency
 * and failure rate. This avoids a server of a service that is slow, hangs or fails part of its requests.
 *
 * @param localDataCentre data centre of this VM; servers elsewhere cost a longer round trip.
 */
public class PlainPlacement(private val localDataCentre: DataCentreId, private val random: Random) {
    /**
     * Returns one of [candidates] that is not in [excluded], or null if there is none.
     *
     * @param knowsAll whether the loads of all VMs are known, and not just those of this one.
     */
    public fun choose(
        candidates: List<Backend>,
        excluded: Set<ServerId>,
        nowMs: Long,
        knowsAll: Boolean = false,
    ): Backend? {
        val open = candidates.filter { it.isReady && it.row.id !in excluded }
        val healthy = open.filter { !it.isAvoided(nowMs) }
        if (healthy.isEmpty()) return open.minByOrNull { it.avoidUntilMs + random.nextDouble() }
        return if (knowsAll) byFreePlaces(healthy, nowMs) else healthy.minBy { (it.running + 1) * cost(it, nowMs) }
    }

    /**
     * Chooses at random, by the free places and in favour of fast servers. All VMs know the same loads and some calls
     * arrive before the next ones, so that the least loaded server would get all of these.
     */
    private fun byFreePlaces(servers: List<Backend>, nowMs: Long): Backend {
        val costs = servers.map { cost(it, nowMs) }
        val least = costs.min()
        return servers.indices.minBy { index ->
            val server = servers[index]
            val free = server.row.places - server.load.running
            val room = if (free > 0) free.toDouble() else FULL_ROOM / (1 - free)
            // The least of these exponential numbers is that of each server in proportion to its weight.
            -ln(1 - random.nextDouble()) / (room * (least / costs[index]).pow(COST_EXPONENT))
        }.let(servers::get)
    }

    private fun cost(backend: Backend, nowMs: Long): Double {
        val unansweredMs = backend.unansweredSinceMs?.let { nowMs - it } ?: 0
        val stuckFactor = if (unansweredMs > STUCK_LATENCIES * backend.latencyMs + STUCK_MS) STUCK_COST_FACTOR else 1.0
        val distanceFactor = if (backend.row.dataCentre == localDataCentre) 1.0 else REMOTE_COST_FACTOR
        val noise = 1 + JITTER * random.nextDouble()
        return backend.latencyMs * (1 + FAILURE_COST_FACTOR * backend.failureRate) * stuckFactor *
            distanceFactor * noise
    }

    private companion object {
        /** A server is stuck if it has not answered for this many times its latency plus [STUCK_MS]. */
        const val STUCK_LATENCIES = 4
        const val STUCK_MS = 80L
        const val STUCK_COST_FACTOR = 8.0

        /** A round trip between data centres takes about a tenth of the time of a plain request. */
        const val REMOTE_COST_FACTOR = 1.1

        /** Weight of the failure rate: a failure costs a second attempt, and often the request. */
        const val FAILURE_COST_FACTOR = 6.0

        /** A server that costs twice as much as another one with as much room gets a sixteenth of its calls. */
        const val COST_EXPONENT = 4

        /** Weight of a server without a free place, in free places. */
        const val FULL_ROOM = 0.05

        /** Random noise that keeps VMs with the same view from choosing the same server. */
        const val JITTER = 0.15
    }
}
