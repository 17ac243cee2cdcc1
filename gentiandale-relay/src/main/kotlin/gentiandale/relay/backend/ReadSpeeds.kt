package gentiandale.relay.backend

import gentiandale.core.ServerKind
import gentiandale.core.backend.ReadSpeed
import gentiandale.core.backend.ServiceName

/**
 * Speeds at which the engines of each service read prompts: the speeds that all VMs have observed together, else those
 * of this VM, else a low estimate. Confined to one thread.
 */
public class ReadSpeeds {
    private data class Key(val service: ServiceName, val kind: ServerKind)

    private val samples = HashMap<Key, ArrayDeque<Double>>()
    private var shared = emptyMap<Key, Double>()

    /** Speeds that this VM has observed. */
    public val local: List<ReadSpeed>
        get() = samples.map { (key, speeds) -> ReadSpeed(key.service, key.kind, median(speeds), speeds.size) }

    /** Records that an engine of [service] in the stage [kind] has read a prompt at [tokensPerMs] tokens/ms. */
    public fun observe(service: ServiceName, kind: ServerKind, tokensPerMs: Double) {
        val speeds = samples.getOrPut(Key(service, kind)) { ArrayDeque() }
        if (speeds.size == MAX_SAMPLES) speeds.removeFirst()
        speeds.addLast(tokensPerMs)
    }

    /** Sets the speeds that all VMs have observed together. */
    public fun setShared(speeds: List<ReadSpeed>) {
        shared = speeds.associate { Key(it.service, it.kind) to it.tokensPerMs }
    }

    /** Returns the speed of an engine of [service] in the stage [kind], in tokens per millisecond. */
    public fun of(service: ServiceName, kind: ServerKind): Double {
        val key = Key(service, kind)
        val known = shared[key] ?: samples[key]?.let(::median)
        return when {
            known != null -> known
            kind == ServerKind.PREFILL -> INITIAL_TOKENS_PER_MS
            else -> of(service, ServerKind.PREFILL) * DECODE_SHARE
        }
    }

    private fun median(speeds: Collection<Double>) = speeds.sorted()[speeds.size / 2]

    private companion object {
        const val MAX_SAMPLES = 15

        /** A low estimate: a prompt that takes longer than expected delays all answers of a decode server. */
        const val INITIAL_TOKENS_PER_MS = 25.0

        /** A decode server reads a prompt at less than half the speed, first event included. */
        const val DECODE_SHARE = 0.42
    }
}
