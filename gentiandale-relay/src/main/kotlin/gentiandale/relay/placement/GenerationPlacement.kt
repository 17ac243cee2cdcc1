package gentiandale.relay.placement

import gentiandale.core.DataCentreId
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.ServerLoad
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.routing.EngineRule
import kotlin.random.Random

/** Where a generation runs, or why it does not. */
public sealed interface GenerationPlan {
    /**
     * It runs at [decode]; [prefill] reads the prompt, or the decode server itself where that is null.
     */
    public data class Placement(val decode: Backend, val prefill: Backend?) : GenerationPlan

    /** Every server that could run it is full at present. */
    public data object NoCapacity : GenerationPlan

    /** No server could run it. */
    public data object NoServer : GenerationPlan
}

/**
 * Chooses engines for generations: a decode server with room for prompt and answer, and the prefill server that has
 * read the prompt first. Room is what all VMs together have not placed yet, so memory is not overbooked: an engine
 * that runs out of memory throws out a running request, and everything that it has read is read again. A decode server
 * reads a prompt itself only where no prefill server answers or has time, and one at a time, since all answers that it
 * makes pause meanwhile.
 */
public class GenerationPlacement(private val localDataCentre: DataCentreId, private val random: Random) {
    /** Returns where to run [need] among [candidates] without those in [excluded]. */
    public fun plan(
        candidates: List<Backend>,
        excluded: Set<ServerId>,
        need: GenerationMemory,
        engine: EngineRule?,
        nowMs: Long,
    ): GenerationPlan {
        val (prefills, decodes) = usableServers(candidates, excluded, nowMs).partition { it.row.kind == ServerKind.PREFILL }
        if (decodes.isEmpty()) return GenerationPlan.NoServer
        val ready = prefills.filter { !it.isAvoided(nowMs) }
        val prefill = ready.filter { it.load.promptTokens <= MAX_BACKLOG_TOKENS }
            .minByOrNull { prefillMs(it, need.promptTokens) }
        val eligible = if (prefill == null) selfPrefillServers(decodes, need, hasPrefill = ready.isNotEmpty()) else decodes
        val decode = leastLoaded(eligible, need, engine) ?: return GenerationPlan.NoCapacity
        return GenerationPlan.Placement(decode, prefill)
    }

    /**
     * Decode servers that may read the prompt of [need] themselves: one prompt at a time, as its chunks pause the
     * answers beside it, and two of them pause those too long. While prefill servers only have too much to do, a long
     * prompt waits for them.
     */
    private fun selfPrefillServers(decodes: List<Backend>, need: GenerationMemory, hasPrefill: Boolean): List<Backend> =
        decodes.filter {
            val load = it.load
            val isShort = need.tokens / it.tokensPerMs <= MAX_SHORT_PREFILL_MS
            load.promptTokens == 0L && (load.running == 0 || isShort || !hasPrefill)
        }

    /** Returns a decode server for a prompt that has been read already, the least full as a last resort, or null. */
    public fun chooseDecode(
        candidates: List<Backend>,
        excluded: Set<ServerId>,
        need: GenerationMemory,
        engine: EngineRule?,
        nowMs: Long,
    ): Backend? {
        val decodes = usableServers(candidates, excluded, nowMs).filter { it.row.kind != ServerKind.PREFILL }
        return leastLoaded(decodes, need, engine) ?: decodes.minByOrNull { it.load.peakTokens }
    }

    /** Returns whether [plan], counted in the loads with [promptTokens] already, fits beside what others have taken. */
    public fun fitsWithPeers(
        plan: GenerationPlan.Placement,
        promptTokens: Int,
        engine: EngineRule?,
        nowMs: Long,
    ): Boolean {
        val peerPromptTokens = (plan.prefill ?: plan.decode).load.promptTokens - promptTokens
        val limit = if (plan.prefill == null) 0L else MAX_BACKLOG_TOKENS
        return peerPromptTokens <= limit && stillFits(plan.decode, engine, nowMs)
    }

    /** Returns whether [backend], where room is reserved, can still be used at [nowMs]. */
    public fun stillFits(backend: Backend, engine: EngineRule?, nowMs: Long): Boolean {
        val limit = engine?.let { it.memoryTokens * MAX_RESERVED_SHARE } ?: Double.MAX_VALUE
        return backend.isReady && !backend.isAvoided(nowMs) && backend.load.memoryTokens <= limit
    }

    /** Returns the time in milliseconds after which [backend] is expected to have read [tokens] tokens more. */
    public fun prefillMs(backend: Backend, tokens: Int): Double {
        val remoteCost = if (backend.row.dataCentre == localDataCentre) 0.0 else REMOTE_ROUND_TRIP_MS
        val failures = 1 + FAILURE_FACTOR * backend.failureRate
        return (backend.load.promptTokens + tokens) / backend.tokensPerMs * failures + remoteCost + random.nextDouble()
    }

    private fun leastLoaded(decodes: List<Backend>, need: GenerationMemory, engine: EngineRule?): Backend? {
        val projected = need.projectedTokens()
        return decodes
            .map { it to it.load }
            .filter { (_, load) -> engine == null || fits(load, need, projected, engine) }
            .minByOrNull { (server, load) -> cost(server, load.peakTokens) }
            ?.first
    }

    /** Whether a generation more fits in now, and still does when it and those beside it have grown. */
    private fun fits(load: ServerLoad, need: GenerationMemory, projected: List<Int>, engine: EngineRule): Boolean {
        if (load.running >= engine.places) return false
        if (load.memoryTokens == 0L) return true
        val fitsLater = projected.indices.all { load.aheadAt(it) + projected[it] <= engine.memoryTokens * MAX_PROJECTED_SHARE }
        return fitsLater && load.memoryTokens + need.tokens <= engine.memoryTokens * MAX_CURRENT_SHARE
    }

    private fun cost(backend: Backend, peakTokens: Long): Double {
        val remoteCost = if (backend.row.dataCentre == localDataCentre) 0.0 else REMOTE_COST_TOKENS
        val noise = random.nextDouble() * NOISE_TOKENS
        return (peakTokens + remoteCost + noise) * (1 + FAILURE_FACTOR * backend.failureRate)
    }

    /** Servers to consider: those that are passed over count only if no other of their kind is there. */
    private fun usableServers(candidates: List<Backend>, excluded: Set<ServerId>, nowMs: Long): List<Backend> {
        val open = candidates.filter { it.isReady && it.row.id !in excluded }
        val decodes = open.filter { it.row.kind != ServerKind.PREFILL }
        val healthyDecodes = decodes.filter { !it.isAvoided(nowMs) }
        return open.filter { it.row.kind == ServerKind.PREFILL } + healthyDecodes.ifEmpty { decodes }
    }

    private companion object {
        /** Part of the memory that may be taken: events are on their way, and memory goes by blocks. */
        const val MAX_CURRENT_SHARE = 0.9

        /** Part of the memory above which reservations of several VMs have collided. */
        const val MAX_RESERVED_SHARE = 0.96

        /** Part of the memory that may be expected to be taken: the lengths of some ten answers even out this well. */
        const val MAX_PROJECTED_SHARE = 0.82

        /** Way to another data centre and back, in milliseconds. */
        const val REMOTE_ROUND_TRIP_MS = 3.0

        /** A remote decode server is worth it if it holds this many tokens less. */
        const val REMOTE_COST_TOKENS = 2_000.0

        /** Keeps VMs with the same knowledge from choosing the same server. */
        const val NOISE_TOKENS = 1_500.0

        /** A failed attempt costs the time of another one. */
        const val FAILURE_FACTOR = 4.0

        /** Prompts in a prefill server beyond this would be read too late, and their caches fill its memory. */
        const val MAX_BACKLOG_TOKENS = 20_000L

        /** A prompt that a decode server reads in this time delays the next event of the others by less than 300 ms. */
        const val MAX_SHORT_PREFILL_MS = 230.0
    }
}
