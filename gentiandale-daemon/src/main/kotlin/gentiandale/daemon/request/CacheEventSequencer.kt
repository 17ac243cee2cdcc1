package gentiandale.daemon.request

import gentiandale.core.ServerId
import gentiandale.route.FleetEvent
import kotlinx.serialization.Serializable

/**
 * Change of the prefix cache of a server, as published by the server.
 *
 * @param sequence number of the event; it starts at 1 when the server starts and increases by 1 with each event.
 * @param added hashes of blocks that were added to the cache.
 * @param removed hashes of blocks that were evicted from it.
 */
@Serializable
internal data class CacheEvent(
    val server: ServerId,
    val sequence: Long,
    val added: List<Long> = emptyList(),
    val removed: List<Long> = emptyList(),
)

/** Converts cache events, which may arrive late or with gaps, to events for the routing policy. */
internal class CacheEventSequencer(private val observe: (FleetEvent) -> Unit) {
    private val lastSequence = HashMap<ServerId, Long>()

    /**
     * Accepts [event], or ignores it if it is older than the last one of its server. After a missed event it first
     * reports a gap, so that the known cache content of the server is cleared.
     */
    @Synchronized
    fun accept(event: CacheEvent) {
        val last = lastSequence[event.server]
        val restarted = event.sequence == FIRST_SEQUENCE
        if (last != null && event.sequence <= last && !restarted) return
        lastSequence[event.server] = event.sequence
        if (last == null || event.sequence != last + 1) observe(FleetEvent.CacheGap(event.server))
        if (event.removed.isNotEmpty()) observe(FleetEvent.CacheChanged(event.server, event.removed, present = false))
        if (event.added.isNotEmpty()) observe(FleetEvent.CacheChanged(event.server, event.added, present = true))
    }

    private companion object {
        const val FIRST_SEQUENCE = 1L
    }
}
