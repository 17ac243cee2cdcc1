package gentiandale.relay.placement

import gentiandale.core.DataCentreId
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.AssignedLoad
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.routing.EngineRule
import kotlin.random.Random

/** Result of planning a generation: the chosen servers, or why there are none. */
public sealed interface GenerationPlan {
    /**
     * The generation runs at [decode]; [prefill] reads the prompt, or the decode server itself if that is null.
     */
    public data class Placement(val decode: Backend, val prefill: Backend?) : GenerationPlan

    /** Every server that could run the generation is currently full. */
    public data object NoCapacity : GenerationPlan

    /** No server could run the generation. */
    public data object NoServer : GenerationPlan
}

/**
 * Chooses engines for generations: a decode server with memory for prompt and answer, and the prefill server that is
 * expected to finish the prompt first. The reservations of all VMs count, so that memory is not overbooked: an engine
 * that runs out of memory preempts a running request, whose tokens must then be read again. A decode server reads a
 * prompt itself only if no prefill server is available or has time, and one prompt at a time, since it pauses all its
 * answers meanwhile.
 */
public class GenerationPlacement(private val localDataCentre: DataCentreId, private val random: Random) {
    /**
     * Plans where to run a generation with [need] among [candidates], without those in [excluded].
     *
     * @param maxGapMs longest gap between two events in milliseconds that callers accept.
     */
    public fun plan(
        candidates: List<Backend>,
        excluded: Set<ServerId>,
        need: GenerationMemory,
        engine: EngineRule?,
        nowMs: Long,
        maxGapMs: Long = DEFAULT_GAP_MS,
    ): GenerationPlan {
        val (prefills, decodes) = usableServers(candidates, excluded, nowMs)
            .partition { it.row.kind == ServerKind.PREFILL }
        if (decodes.isEmpty()) return GenerationPlan.NoServer
        val ready = prefills.filter { !it.isAvoided(nowMs) }
        val prefill = ready.filter { it.load.promptTokens <= backlogLimit(it) }
            .minByOrNull { prefillMs(it, need.promptTokens) }
        val eligible =
            if (prefill == null) selfPrefillServers(decodes, need, maxGapMs, ready.isNotEmpty()) else decodes
        val decode = leastLoaded(eligible, need, engine) ?: return GenerationPlan.NoCapacity
        return GenerationPlan.Placement(decode, prefill)
    }

    /**
     * Returns the decode servers that may read the prompt of [need] themselves. Each reads one prompt at a time, since
     * its chunks delay the answers on the same server, and two prompts would delay them too long. If prefill servers
     * are available but overloaded, a prompt waits for them if it would delay other answers by more than [maxGapMs].
     */
    private fun selfPrefillServers(
        decodes: List<Backend>,
        need: GenerationMemory,
        maxGapMs: Long,
        hasPrefill: Boolean,
    ): List<Backend> = decodes.filter {
        val load = it.load
        val isShort = need.tokens / it.tokensPerMs <= maxGapMs * MAX_PAUSE_SHARE
        load.promptTokens == 0L && (load.running == 0 || isShort || !hasPrefill)
    }

    /** Returns the backlog in prompt tokens above which [prefill] would read further prompts too late. */
    private fun backlogLimit(prefill: Backend): Long = (prefill.tokensPerMs * MAX_BACKLOG_MS).toLong()

    /** Returns a decode server for a prompt that has been read, if need be the least loaded full one, or null. */
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

    /** Returns whether [plan], whose [promptTokens] are part of the loads, still fits with the load of other VMs. */
    public fun fitsWithPeers(
        plan: GenerationPlan.Placement,
        promptTokens: Int,
        engine: EngineRule?,
        nowMs: Long,
    ): Boolean {
        val peerPromptTokens = (plan.prefill ?: plan.decode).load.promptTokens - promptTokens
        val limit = plan.prefill?.let(::backlogLimit) ?: 0
        return peerPromptTokens <= limit && stillFits(plan.decode, engine, nowMs)
    }

    /** Returns whether [backend], at which memory is reserved, can still be used at [nowMs]. */
    public fun stillFits(backend: Backend, engine: EngineRule?, nowMs: Long): Boolean {
        val limit = engine?.let { it.memoryTokens * MAX_RESERVED_SHARE } ?: Double.MAX_VALUE
        return backend.isReady && !backend.isAvoided(nowMs) && backend.load.memoryTokens <= limit
    }

    /** Estimates the time in milliseconds until [backend] has read its pending prompts and [tokens] more tokens. */
    public fun prefillMs(backend: Backend, tokens: Int): Double {
        val remoteMs = if (backend.row.dataCentre == localDataCentre) 0.0 else REMOTE_ROUND_TRIP_MS
        val failures = 1 + FAILURE_FACTOR * backend.failureRate
        return (backend.load.promptTokens + tokens) / backend.tokensPerMs * failures + remoteMs + random.nextDouble()
    }

    private fun leastLoaded(decodes: List<Backend>, need: GenerationMemory, engine: EngineRule?): Backend? {
        val projected = need.projectedTokens()
        return decodes
            .map { it to it.load }
            .filter { (_, load) -> engine == null || fits(load, need, projected, engine) }
            .minByOrNull { (server, load) -> cost(server, load.peakTokens) }
            ?.first
    }

    /** Returns whether another generation fits now, and still does when it and the running ones have grown. */
    private fun fits(load: AssignedLoad, need: GenerationMemory, projected: List<Int>, engine: EngineRule): Boolean {
        if (load.running >= engine.places) return false
        if (load.memoryTokens == 0L) return true
        val fitsLater = projected.indices
            .all { load.projectedTokensAt(it) + projected[it] <= engine.memoryTokens * MAX_PROJECTED_SHARE }
        return fitsLater && load.memoryTokens + need.tokens <= engine.memoryTokens * MAX_CURRENT_SHARE
    }

    private fun cost(backend: Backend, peakTokens: Long): Double {
        val remoteCost = if (backend.row.dataCentre == localDataCentre) 0.0 else REMOTE_COST_TOKENS
        val noise = random.nextDouble() * NOISE_TOKENS
        return (peakTokens + remoteCost + noise) * (1 + FAILURE_FACTOR * backend.failureRate)
    }

    /** Returns prefill servers, and decode servers without the avoided ones unless all of those are avoided. */
    private fun usableServers(candidates: List<Backend>, excluded: Set<ServerId>, nowMs: Long): List<Backend> {
        val open = candidates.filter { it.isReady && it.row.id !in excluded }
        val decodes = open.filter { it.row.kind != ServerKind.PREFILL }
        val healthyDecodes = decodes.filter { !it.isAvoided(nowMs) }
        return open.filter { it.row.kind == ServerKind.PREFILL } + healthyDecodes.ifEmpty { decodes }
    }

    private companion object {
        /** Usable share of the memory: events in transit are not counted yet, and memory is allocated in blocks. */
        const val MAX_CURRENT_SHARE = 0.9

        /** Share of the memory above which reservations of several VMs are in conflict. */
        const val MAX_RESERVED_SHARE = 0.96

        /** Share of the memory that projected answers may take; the length errors of about ten answers average out. */
        const val MAX_PROJECTED_SHARE = 0.82

        /** Round trip to another data centre, in milliseconds. */
        const val REMOTE_ROUND_TRIP_MS = 3.0

        /** A remote decode server is preferred if it holds this many tokens less than a local one. */
        const val REMOTE_COST_TOKENS = 2_000.0

        /** Random noise that keeps VMs with the same view from choosing the same server. */
        const val NOISE_TOKENS = 1_500.0

        /** Weight of the failure rate: a failed attempt costs the time of another one. */
        const val FAILURE_FACTOR = 4.0

        /**
         * Backlog in milliseconds of reading above which further prompts would be read too late, and their KV caches
         * would fill the memory.
         */
        const val MAX_BACKLOG_MS = 450.0

        /** Longest gap in milliseconds where a route states none. */
        const val DEFAULT_GAP_MS = 300L

        /** Share of the longest gap for which a prompt may pause other answers; busy engines need the rest anyway. */
        const val MAX_PAUSE_SHARE = 0.5
    }
}
