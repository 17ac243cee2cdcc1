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
    private class Job(val run: SimulatedRequest, val priority: Int, val order: Long, val done: (Int) -> Unit)

    private val queue = PriorityQueue(compareBy<Job> { it.priority }.thenBy { it.order })
    private val cache = LinkedHashSet<Long>()
    private var current: Job? = null
    private var entered = 0L

    /** Told of blocks that entered the cache (true) or left it (false). */
    var onCache: (List<Long>, Boolean) -> Unit = { _, _ -> }

    /** Time at which the outgoing link is free. */
    var linkFreeMs: Double = 0.0

    /** Whether the engine can be reached. */
    var isUp: Boolean = true

    /** Prompt tokens that were computed. */
    var computedTokens: Long = 0
        private set

    /** Starts a prefill; [done] gets the tokens that were computed. */
    fun start(run: SimulatedRequest, priority: Int, done: (Int) -> Unit) {
        queue += Job(run, priority, entered++, done)
        next()
    }

    /** Takes a waiting request out of the queue. A prefill at work runs to its end. */
    fun cancel(request: RequestId) {
        queue.removeIf { it.run.id == request }
    }

    /** Returns the load at this moment. */
    fun load() = ServerLoad(
        running = if (current == null) 0 else 1,
        queued = queue.size,
        queuedTokens = queue.sumOf { it.run.arrival.request.promptTokens.toLong() },
    )

    private fun next() {
        if (current != null) return
        val job = queue.poll() ?: return
        current = job
        val request = job.run.arrival.request
        val cached = request.prefix.takeWhile { it in cache }.size * Workload.BLOCK_TOKENS
        val tokens = (request.promptTokens + job.run.sent - cached).coerceAtLeast(1)
        computedTokens += tokens
        scheduler.schedule(tokens / Workload.PREFILL_TOKENS_PER_MS) {
            current = null
            keep(request.prefix)
            job.done(tokens)
            next()
        }
    }

    private fun keep(prefix: List<Long>) {
        if (prefix.isEmpty()) return
        cache.removeAll(prefix.toSet())
        cache.addAll(prefix)
        onCache(prefix, true)
        val evicted = cache.take((cache.size - CACHE_BLOCKS).coerceAtLeast(0))
        cache.removeAll(evicted.toSet())
        if (evicted.isNotEmpty()) onCache(evicted, false)
    }

    private companion object {
        const val CACHE_BLOCKS = 24
    }
}
