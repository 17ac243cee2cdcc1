package gentiandale.bench.policy

import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerLoad
import java.util.PriorityQueue

/**
 * Simulated prefill engine. It computes one prompt at a time in order of priority, and keeps a prefix cache of prompt
 * blocks.
 */
internal class SimulatedPrefillEngine(val facts: ServerFacts, private val scheduler: EventScheduler) {
    private class Job(val request: SimulatedRequest, val priority: Int, val sequence: Long, val onDone: (Int) -> Unit)

    private val queue = PriorityQueue(compareBy<Job> { it.priority }.thenBy { it.sequence })
    private val cache = LinkedHashSet<Long>()
    private var current: Job? = null
    private var nextSequence = 0L

    /** Listener for blocks that were added to the prefix cache (true) or evicted from it (false). */
    var onCacheChange: (List<Long>, Boolean) -> Unit = { _, _ -> }

    /** Virtual time at which the outgoing link becomes free. */
    var linkFreeMs: Double = 0.0

    /** Whether the engine is reachable. */
    var isUp: Boolean = true

    /** Number of prompt tokens computed so far, without those found in the prefix cache. */
    var computedTokens: Long = 0
        private set

    /** Queues a prefill; [onDone] receives the number of tokens that were computed. */
    fun start(request: SimulatedRequest, priority: Int, onDone: (Int) -> Unit) {
        queue += Job(request, priority, nextSequence++, onDone)
        startNext()
    }

    /** Removes the request [id] from the queue. A prefill that has started runs to completion. */
    fun cancel(id: RequestId) {
        queue.removeIf { it.request.id == id }
    }

    /** Returns the current load. */
    fun load() = ServerLoad(
        running = if (current == null) 0 else 1,
        queued = queue.size,
        queuedTokens = queue.sumOf { it.request.arrival.request.promptTokens.toLong() },
    )

    private fun startNext() {
        if (current != null) return
        val job = queue.poll() ?: return
        current = job
        val routeRequest = job.request.arrival.request
        val cached = routeRequest.prefix.takeWhile { it in cache }.size * Workload.BLOCK_TOKENS
        val tokens = (routeRequest.promptTokens + job.request.sentTokens - cached).coerceAtLeast(1)
        computedTokens += tokens
        scheduler.schedule(tokens / Workload.PREFILL_TOKENS_PER_MS) {
            current = null
            cachePrefix(routeRequest.prefix)
            job.onDone(tokens)
            startNext()
        }
    }

    private fun cachePrefix(prefix: List<Long>) {
        if (prefix.isEmpty()) return
        cache.removeAll(prefix.toSet())
        cache.addAll(prefix)
        onCacheChange(prefix, true)
        val evicted = cache.take((cache.size - CACHE_BLOCKS).coerceAtLeast(0))
        cache.removeAll(evicted.toSet())
        if (evicted.isNotEmpty()) onCacheChange(evicted, false)
    }

    private companion object {
        const val CACHE_BLOCKS = 24
    }
}
