package gentiandale.standin.engine

import gentiandale.core.ServerId
import gentiandale.standin.StandinJson
import gentiandale.standin.announce.Announcer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Body of `POST /v1/cache-events`. A gap in [sequence] tells the receiver that an event was lost. */
@Serializable
internal data class CacheEvent(
    val server: ServerId,
    val sequence: Long,
    val added: List<Long>,
    val removed: List<Long>,
)

/** Publishes changes of the prefix cache of [server] and drops each event with probability [lossProbability]. */
internal class CacheEventPublisher(
    private val server: ServerId,
    private val lossProbability: Double,
    seed: Long,
    private val scope: CoroutineScope,
    private val announcer: Announcer,
) {
    private val random = Random(seed)
    private val sequence = AtomicLong()

    /** Publishes [change] unless it is empty. A dropped event still uses up a sequence number. */
    fun publish(change: CacheChange) {
        if (change.added.isEmpty() && change.removed.isEmpty()) return
        val event = CacheEvent(server, sequence.incrementAndGet(), change.added, change.removed)
        if (random.nextDouble() < lossProbability) return
        scope.launch { announcer.post(PATH, StandinJson.encodeToString(CacheEvent.serializer(), event)) }
    }

    private companion object {
        const val PATH = "/v1/cache-events"
    }
}
