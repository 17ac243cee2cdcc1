package gentiandale.relay.placement

import gentiandale.core.DataCentreId
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.backend.Backend
import gentiandale.relay.routing.EngineRule
import kotlin.random.Random

/** Where a generation's prompt is read. */
public sealed interface GenerationPlan {
    /** A prefill server reads the prompt, and a decode server fetches the KV cache. */
    public data class HandOver(val prefill: Backend) : GenerationPlan

    /** A decode server reads the prompt itself, at a lower speed and beside its running work. */
    public data class OnDecode(val decode: Backend) : GenerationPlan
}

/**
 * Chooses engines for generations by the time at which the prompt is expected to be read, and the decode server by its
 * running work and free memory. It answers bursts, lost prefill servers and links or handles that fail.
 */
public class GenerationPlacement(private val home: DataCentreId, private val random: Random) {
    /** Returns where to read a prompt of [tokens] tokens, or null if no server takes work. */
    public fun plan(candidates: List<Backend>, excluded: Set<ServerId>, tokens: Int, nowMs: Long): GenerationPlan? {
        val open = usable(candidates, excluded, nowMs)
        val prefill = open.filter { it.row.kind == ServerKind.PREFILL }.minByOrNull { readMs(it, tokens) }
        val decode = open.filter { it.row.kind != ServerKind.PREFILL }.minByOrNull { readMs(it, tokens) }
        if (decode == null) return null
        if (prefill == null) return GenerationPlan.OnDecode(decode)
        val handOverMs = readMs(prefill, tokens) + HAND_OVER_MS
        return if (handOverMs <= readMs(decode, tokens)) {
            GenerationPlan.HandOver(prefill)
        } else {
            GenerationPlan.OnDecode(decode)
        }
    }

    /** Returns the decode server for [tokens] tokens of prompt and answer, or null if none takes work. */
    public fun decode(
        candidates: List<Backend>,
        excluded: Set<ServerId>,
        tokens: Int,
        engine: EngineRule?,
        nowMs: Long,
    ): Backend? {
        val open = usable(candidates, excluded, nowMs).filter { it.row.kind != ServerKind.PREFILL }
        val memory = engine?.memoryTokens?.toLong() ?: Long.MAX_VALUE
        val roomy = open.filter { it.memoryTokens + it.otherMemoryTokens + tokens <= memory }
        return roomy.ifEmpty { open }.minByOrNull { decodeCost(it) }
    }

    /** Returns the time in milliseconds after which [backend] is expected to have read [tokens] tokens more. */
    public fun readMs(backend: Backend, tokens: Int): Double {
        val waiting = backend.promptTokens + backend.otherPromptTokens + tokens
        val way = if (backend.row.dataCentre == home) 0.0 else REMOTE_MS
        return waiting / backend.tokensPerMs * (1 + FAILURE_COST * backend.failureShare) + way + random.nextDouble()
    }

    private fun decodeCost(backend: Backend): Double {
        val busy = backend.running + backend.otherRunning + backend.promptTokens / PROMPT_TOKENS_PER_REQUEST
        val way = if (backend.row.dataCentre == home) 0.0 else REMOTE_RUNNING
        return (busy + way + random.nextDouble()) * (1 + FAILURE_COST * backend.failureShare)
    }

    private fun usable(candidates: List<Backend>, excluded: Set<ServerId>, nowMs: Long): List<Backend> {
        val open = candidates.filter { it.takesWork && it.row.id !in excluded }
        val sound = open.filter { !it.isAvoided(nowMs) }
        val kinds = sound.map { it.row.kind == ServerKind.PREFILL }.toSet()
        return sound + open.filter { it !in sound && (it.row.kind == ServerKind.PREFILL) !in kinds }
    }

    private companion object {
        /** Second call and the way of the cache, in milliseconds. */
        const val HAND_OVER_MS = 12.0

        /** Way to another data centre and back, in milliseconds. */
        const val REMOTE_MS = 3.0

        /** A remote decode server is worth it if it runs this many requests less. */
        const val REMOTE_RUNNING = 0.5

        /** Prompt tokens that a decode server reads itself weigh like one more running request each this many. */
        const val PROMPT_TOKENS_PER_REQUEST = 1_000.0

        /** A failed attempt costs the time of another one. */
        const val FAILURE_COST = 4.0
    }
}
