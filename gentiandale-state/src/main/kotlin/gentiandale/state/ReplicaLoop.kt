package gentiandale.state

import gentiandale.core.Clock
import gentiandale.state.raft.Replica
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Runs a [Replica] on a dedicated thread. Events that arrive during a disk sync are processed as one batch. */
internal class ReplicaLoop(
    private val replica: Replica,
    private val clock: Clock,
    private val afterFlush: (Replica) -> Unit,
) : AutoCloseable {
    private val logger = LoggerFactory.getLogger("gentiandale.state")
    private val events = LinkedBlockingQueue<(Replica) -> Unit>(MAX_QUEUED_EVENTS)
    private val thread = Thread(::run, "gentiandale-state").apply { isDaemon = true }

    @Volatile
    var isRunning = true
        private set

    fun start() = thread.start()

    /** Queues [event]. Returns false and drops it if the queue is full or the loop has stopped. */
    fun offer(event: (Replica) -> Unit): Boolean = isRunning && events.offer(event)

    /** Runs [event] on the loop's thread and returns the result that it completes, or null after [timeoutMs] ms. */
    suspend fun <T : Any> execute(timeoutMs: Long, event: (Replica, CompletableDeferred<T>) -> Unit): T? {
        val result = CompletableDeferred<T>()
        if (!offer { event(it, result) }) return null
        return withTimeoutOrNull(timeoutMs) { result.await() }
    }

    override fun close() {
        isRunning = false
        thread.join(JOIN_TIMEOUT_MS)
    }

    private fun run() {
        val batch = ArrayList<(Replica) -> Unit>()
        try {
            while (isRunning) {
                events.poll(TICK_INTERVAL_MS, TimeUnit.MILLISECONDS)?.let(batch::add)
                events.drainTo(batch, MAX_BATCH)
                batch.forEach { it(replica) }
                batch.clear()
                replica.tick(clock.monotonicMs())
                replica.flush()
                afterFlush(replica)
            }
        } catch (e: IOException) {
            logger.error("Data folder failed; the replica is stopped until it is reopened: {}", e.message)
        } catch (e: RuntimeException) {
            logger.error("Unexpected error; the replica is stopped until it is reopened.", e)
        } finally {
            isRunning = false
        }
    }

    private companion object {
        const val TICK_INTERVAL_MS = 50L
        const val MAX_QUEUED_EVENTS = 20_000
        const val MAX_BATCH = 2_000
        const val JOIN_TIMEOUT_MS = 5_000L
    }
}
