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
    private val stepMs: Double,
    private val scheduler: EventScheduler,
) {
    private class Slot(val attempt: Int, val run: SimulatedRequest, val blocks: Int) {
        var isDecoding = false
    }

    private val slots = LinkedHashMap<RequestId, Slot>()
    private var isStepping = false

    /** Time at which the incoming link is free. */
    var linkFreeMs: Double = 0.0

    /** Whether the engine can be reached. */
    var isUp: Boolean = true

    /** Attempts that the engine has refused because it was full. */
    var refused: Int = 0
        private set

    /** Requests that hold a place. */
    val running: List<SimulatedRequest> get() = slots.values.map { it.run }

    /** Takes [run] in, or returns false if places or memory are full. */
    fun admit(run: SimulatedRequest): Boolean {
        val request = run.arrival.request
        val blocks = (request.promptTokens + request.maxTokens + Workload.BLOCK_TOKENS - 1) / Workload.BLOCK_TOKENS
        val isFull = slots.size >= facts.places || slots.values.sumOf { it.blocks } + blocks > facts.memoryBlocks
        if (isFull) refused++ else slots[run.id] = Slot(run.attempt.value, run, blocks)
        return !isFull
    }

    /** Begins to decode [run], whose KV cache has arrived. */
    fun begin(run: SimulatedRequest) {
        val slot = slots[run.id] ?: return
        slot.isDecoding = true
        if (!isStepping) step()
    }

    /** Frees the place of [request]. */
    fun cancel(request: RequestId) {
        slots.remove(request)
    }

    /** Returns the load at this moment. */
    fun load() = ServerLoad(
        running = slots.size,
        usedBlocks = slots.values.sumOf { it.blocks },
        requests = slots.keys.toList(),
    )

    private fun step() {
        val batch = slots.values.filter { it.isDecoding }
        isStepping = batch.isNotEmpty()
        if (!isStepping) return
        scheduler.schedule(Workload.TOKEN_BASE_MS + stepMs * batch.size) {
            batch.filter { slots[it.run.id] === it }.forEach { slot ->
                val isLast = slot.run.sent + 1 >= slot.run.arrival.answerTokens
                if (isLast) slots.remove(slot.run.id)
                if (isUp) slot.run.token(isLast)
            }
            step()
        }
    }
}
