package gentiandale.relay.placement

import gentiandale.core.DataCentreId
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.backend.Backend
import gentiandale.relay.routing.EngineRule
import kotlin.random.Random

/**
 * What a generation needs.
 *
 * @param promptTokens tokens to read.
 * @param memoryTokens tokens that it is expected to hold at its decode server.
 */
public data class GenerationNeed(val promptTokens: Int, val memoryTokens: Int)

/** Where a generation runs, or why it does not. */
public sealed interface GenerationPlan {
    /**
     * It runs at [decode]; [prefill] reads the prompt, or the decode server itself where that is null.
     */
    public data class Place(val decode: Backend, val prefill: Backend?) : GenerationPlan

    /** Every server that could run it is full at present. */
    public data object NoRoom : GenerationPlan

    /** No server could run it. */
    public data object NoServer : GenerationPlan
}

/**
 * Chooses engines for generations: a decode server with room for prompt and answer, and the prefill server that has
 * read the prompt first. Room is what all VMs together have not placed yet, so memory is not overbooked: an engine
 * that runs out of memory throws out a running request, and everything that it has read is read again. A decode server
 * reads a prompt itself only where no prefill server answers, since all answers that it makes pause meanwhile.
 */
public class GenerationPlacement(private val home: DataCentreId, private val random: Random) {
    /** Returns where to run [need] among [candidates] without those in [excluded]. */
    public fun plan(
        candidates: List<Backend>,
        excluded: Set<ServerId>,
        need: GenerationNeed,
        engine: EngineRule?,
        nowMs: Long,
    ): GenerationPlan {
        val (prefills, decodes) = sound(candidates, excluded, nowMs).partition { it.row.kind == ServerKind.PREFILL }
        if (decodes.isEmpty()) return GenerationPlan.NoServer
        val decode = roomiest(decodes, need, engine) ?: return GenerationPlan.NoRoom
        val ready = prefills.filter { !it.isAvoided(nowMs) }
        if (ready.isEmpty()) return GenerationPlan.Place(decode, null)
        val prefill = ready.filter { backlog(it) <= MAX_BACKLOG_TOKENS }.minByOrNull { readMs(it, need.promptTokens) }
        return if (prefill == null) GenerationPlan.NoRoom else GenerationPlan.Place(decode, prefill)
    }

    /** Returns a decode server for a prompt that has been read already, the fullest as a last resort, or null. */
    public fun decode(
        candidates: List<Backend>,
        excluded: Set<ServerId>,
        need: GenerationNeed,
        engine: EngineRule?,
        nowMs: Long,
    ): Backend? {
        val decodes = sound(candidates, excluded, nowMs).filter { it.row.kind != ServerKind.PREFILL }
        return roomiest(decodes, need, engine) ?: decodes.minByOrNull { held(it) }
    }

    /** Returns the time in milliseconds after which [backend] is expected to have read [tokens] tokens more. */
    public fun readMs(backend: Backend, tokens: Int): Double {
        val way = if (backend.row.dataCentre == home) 0.0 else REMOTE_MS
        val failures = 1 + FAILURE_COST * backend.failureShare
        return (backlog(backend) + tokens) / backend.tokensPerMs * failures + way + random.nextDouble()
    }

    private fun backlog(backend: Backend) = backend.promptTokens + backend.otherPromptTokens

    private fun held(backend: Backend) = backend.memoryTokens + backend.otherMemoryTokens

    private fun roomiest(decodes: List<Backend>, need: GenerationNeed, engine: EngineRule?): Backend? {
        val memory = engine?.memoryTokens?.toLong() ?: Long.MAX_VALUE
        val places = engine?.places ?: Int.MAX_VALUE
        return decodes
            .filter { held(it) == 0L || held(it) + need.memoryTokens <= memory }
            .filter { it.running + it.otherRunning < places }
            .minByOrNull { cost(it) }
    }

    private fun cost(backend: Backend): Double {
        val way = if (backend.row.dataCentre == home) 0.0 else REMOTE_TOKENS
        val noise = random.nextDouble() * NOISE_TOKENS
        return (held(backend) + way + noise) * (1 + FAILURE_COST * backend.failureShare)
    }

    /** Servers to consider: those that are passed over count only if no other of their kind is there. */
    private fun sound(candidates: List<Backend>, excluded: Set<ServerId>, nowMs: Long): List<Backend> {
        val open = candidates.filter { it.takesWork && it.row.id !in excluded }
        val decodes = open.filter { it.row.kind != ServerKind.PREFILL }
        val soundDecodes = decodes.filter { !it.isAvoided(nowMs) }
        return open.filter { it.row.kind == ServerKind.PREFILL } + soundDecodes.ifEmpty { decodes }
    }

    private companion object {
        /** Way to another data centre and back, in milliseconds. */
        const val REMOTE_MS = 3.0

        /** A remote decode server is worth it if it holds this many tokens less. */
        const val REMOTE_TOKENS = 2_000.0

        /** Keeps VMs with the same knowledge from choosing the same server. */
        const val NOISE_TOKENS = 1_500.0

        /** A failed attempt costs the time of another one. */
        const val FAILURE_COST = 4.0

        /** Prompts in a prefill server beyond this would be read too late, and their caches fill its memory. */
        const val MAX_BACKLOG_TOKENS = 30_000L
    }
}
