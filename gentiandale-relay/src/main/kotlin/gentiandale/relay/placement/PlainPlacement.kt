package gentiandale.relay.placement

import gentiandale.core.DataCentreId
import gentiandale.core.ServerId
import gentiandale.relay.backend.Backend
import kotlin.random.Random

/**
 * Chooses the server of a plain request: the one that is expected to answer first, by its running requests, latency
 * and failure rate. This avoids a server of a service that is slow, hangs or fails part of its requests.
 *
 * @param localDataCentre data centre of this VM; servers elsewhere cost a longer round trip.
 */
public class PlainPlacement(private val localDataCentre: DataCentreId, private val random: Random) {
    /** Returns one of [candidates] that is not in [excluded], or null if there is none. */
    public fun choose(candidates: List<Backend>, excluded: Set<ServerId>, nowMs: Long): Backend? {
        val open = candidates.filter { it.isReady && it.row.id !in excluded }
        val healthy = open.filter { !it.isAvoided(nowMs) }
        if (healthy.isEmpty()) return open.minByOrNull { it.avoidUntilMs + random.nextDouble() }
        return healthy.minBy { cost(it, nowMs) }
    }

    private fun cost(backend: Backend, nowMs: Long): Double {
        val unansweredMs = backend.unansweredSinceMs?.let { nowMs - it } ?: 0
        val stuckFactor = if (unansweredMs > STUCK_LATENCIES * backend.latencyMs + STUCK_MS) STUCK_COST_FACTOR else 1.0
        val distanceFactor = if (backend.row.dataCentre == localDataCentre) 1.0 else REMOTE_COST_FACTOR
        val noise = 1 + JITTER * random.nextDouble()
        return (backend.running + 1) * backend.latencyMs * (1 + FAILURE_COST_FACTOR * backend.failureRate) *
            stuckFactor * distanceFactor * noise
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

        /** Random noise that keeps VMs with the same view from choosing the same server. */
        const val JITTER = 0.15
    }
}
