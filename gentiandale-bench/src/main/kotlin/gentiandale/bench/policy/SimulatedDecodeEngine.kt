package gentiandale.bench.policy

import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerLoad

/**
 * Simulated decode engine. It decodes one batch, bounded by the places and memory of [facts]; the time per token grows
 * with the size of the batch.
 */
internal class SimulatedDecodeEngine(
    val facts: ServerFacts,
    private val tokenMsPerRequest: Double,
    private val scheduler: EventScheduler,
) {
    private class Slot(val attempt: Int, val request: SimulatedRequest, val blocks: Int) {
        var isDecoding = false
    }

    private val slots = LinkedHashMap<RequestId, Slot>()
    private var isStepScheduled = false

    /** Virtual time at which the incoming link becomes free. */
    var linkFreeMs: Double = 0.0

    /** Whether the engine is reachable. */
    var isUp: Boolean = true

    /** Number of attempts refused because places or memory were exhausted. */
    var refusedAttempts: Int = 0
        private set

    /** Requests that occupy a place. */
    val running: List<SimulatedRequest> get() = slots.values.map { it.request }

    /** Reserves a place and memory for [request], or returns false if either is exhausted. */
    fun admit(request: SimulatedRequest): Boolean {
        val routeRequest = request.arrival.request
        val blocks =
            (routeRequest.promptTokens + routeRequest.maxTokens + Workload.BLOCK_TOKENS - 1) / Workload.BLOCK_TOKENS
        val isFull = slots.size >= facts.places || slots.values.sumOf { it.blocks } + blocks > facts.memoryBlocks
        if (isFull) refusedAttempts++ else slots[request.id] = Slot(request.attempt.value, request, blocks)
        return !isFull
    }

    /** Starts to decode [request], whose KV cache has been transferred. */
    fun startDecoding(request: SimulatedRequest) {
        val slot = slots[request.id] ?: return
        slot.isDecoding = true
        if (!isStepScheduled) scheduleStep()
    }

    /** Frees the place and memory of the request [id]. */
    fun cancel(id: RequestId) {
        slots.remove(id)
    }

    /** Returns the current load. */
    fun load() = ServerLoad(
        running = slots.size,
        usedBlocks = slots.values.sumOf { it.blocks },
        requests = slots.keys.toList(),
    )

    private fun scheduleStep() {
        val batch = slots.values.filter { it.isDecoding }
        isStepScheduled = batch.isNotEmpty()
        if (!isStepScheduled) return
        scheduler.schedule(Workload.TOKEN_BASE_MS + tokenMsPerRequest * batch.size) {
            batch.filter { slots[it.request.id] === it }.forEach { slot ->
                val isLast = slot.request.sentTokens + 1 >= slot.request.arrival.answerTokens
                if (isLast) slots.remove(slot.request.id)
                if (isUp) slot.request.sendToken(isLast)
            }
            scheduleStep()
        }
    }
}
