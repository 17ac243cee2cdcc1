package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow

/**
 * An engine and the load that all entry VMs have placed on it.
 *
 * @param memoryTokens capacity of the engine's memory in tokens.
 */
public data class EngineLoad(val row: BackendRow, val load: AssignedLoad, val memoryTokens: Int)

/** A decision that the engine [server] changes to [stage]. */
public data class StageChange(val server: BackendRow, val stage: ServerKind, val reason: String)

/**
 * Decides when an engine changes between prefill and decode. It reacts to lasting shifts between long prompts and long
 * answers, where one stage is highly utilised while the other is mostly idle. A change takes the engine out of service
 * for seconds, so changes are rare and short bursts are left to the queue.
 *
 * @param switchMs time in milliseconds for which an engine is out of service while it changes its stage.
 */
public class StageBalancer(private val switchMs: Long) {
    private class MovingAverage {
        private var mean: Double? = null

        fun add(sample: Double): Double {
            val next = mean?.let { it + SMOOTHING_FACTOR * (sample - it) } ?: sample
            mean = next
            return next
        }
    }

    private val decodeMean = MovingAverage()
    private val prefillMean = MovingAverage()
    private var lastChangeMs: Long? = null

    /** Engines that were ordered to change and have not yet reported the new stage. */
    private val pending = HashMap<ServerId, PendingChange>()

    private class PendingChange(val change: StageChange, val orderedMs: Long)

    /** Samples the utilisation of [engines] and returns the change to make now, or null. */
    public fun decide(engines: List<EngineLoad>, nowMs: Long): StageChange? {
        pending.values.removeIf { order ->
            val isDone = engines.none { it.row.id == order.change.server.id && it.row.kind == order.change.server.kind }
            isDone || nowMs - order.orderedMs > ORDER_EXPIRY_MS + switchMs
        }
        val ready = engines.filter { it.row.acceptsWork && !it.row.silent && it.row.id !in pending }
        val (prefills, decodes) = ready.partition { it.row.kind == ServerKind.PREFILL }
        if (decodes.isEmpty()) return null
        if (prefills.isEmpty()) return firstPrefill(decodes)?.also { recordOrder(it, nowMs) }
        val decode = decodeMean.add(decodes.sumOf { it.load.memoryTokens.toDouble() / it.memoryTokens } / decodes.size)
        val busyPrefills = prefills.count { it.load.promptTokens > 0 }.toDouble()
        val prefill = prefillMean.add(busyPrefills / prefills.size.coerceAtLeast(1))
        val busyIntervalMs = SWITCHES_BETWEEN_CHANGES * switchMs
        val isIdle = ready.all { it.load.memoryTokens == 0L && it.load.promptTokens == 0L }
        val minIntervalMs = if (isIdle) IDLE_CHANGE_INTERVAL_MS else busyIntervalMs
        if (lastChangeMs?.let { nowMs - it < minIntervalMs } == true) return null
        val change = trimPrefills(prefills, ready.size, prefill)
            ?: prefillToDecode(prefills, decode, prefill)
            ?: decodeToPrefill(decodes, decode, prefill)
        return change?.also { recordOrder(it, nowMs) }
    }

    private fun recordOrder(change: StageChange, nowMs: Long) {
        lastChangeMs = nowMs
        pending[change.server.id] = PendingChange(change, nowMs)
    }

    /** Without a prefill engine each prompt stalls the decodes beside it, so one is made regardless of the load. */
    private fun firstPrefill(decodes: List<EngineLoad>): StageChange? {
        val isPending = pending.values.any { it.change.stage == ServerKind.PREFILL }
        if (isPending || decodes.size < MIN_ENGINES_FOR_PREFILL) return null
        val chosen = decodes.minBy { it.load.memoryTokens }
        return StageChange(chosen.row, ServerKind.PREFILL, "no prefill engine among ${decodes.size} ready engines")
    }

    /** Handles a refusal of the order by the engine [server], which may then be ordered again. */
    public fun onRefused(server: ServerId) {
        pending -= server
    }

    /** A decode engine can prefill as well, but a prefill engine can't decode, so surplus prefill engines change. */
    private fun trimPrefills(prefills: List<EngineLoad>, engines: Int, prefill: Double): StageChange? {
        val wanted = (engines + ENGINES_PER_PREFILL - 1) / ENGINES_PER_PREFILL
        val after = prefill * prefills.size / (prefills.size - 1).coerceAtLeast(1)
        if (prefills.size <= wanted || after > PREFILL_UTILISATION_LIMIT) return null
        val chosen = prefills.minBy { it.load.promptTokens }
        return StageChange(chosen.row, ServerKind.DECODE, "${prefills.size} of $engines engines prefill, limit $wanted")
    }

    private fun prefillToDecode(prefills: List<EngineLoad>, decode: Double, prefill: Double): StageChange? {
        if (prefills.size < 2 || decode < DECODE_MEMORY_LIMIT) return null
        val after = prefill * prefills.size / (prefills.size - 1)
        if (after > PREFILL_UTILISATION_LIMIT) return null
        val chosen = prefills.minBy { it.load.promptTokens }
        return StageChange(chosen.row, ServerKind.DECODE, describe(decode, prefill))
    }

    private fun decodeToPrefill(
        decodes: List<EngineLoad>,
        decode: Double,
        prefill: Double,
    ): StageChange? {
        if (decodes.size < 2 || prefill <= PREFILL_SATURATION) return null
        val after = decode * decodes.size / (decodes.size - 1)
        if (after > DECODE_MEMORY_LIMIT) return null
        val chosen = decodes.minBy { it.load.memoryTokens }
        return StageChange(chosen.row, ServerKind.PREFILL, describe(decode, prefill))
    }

    private fun describe(decode: Double, prefill: Double) =
        "utilisation: decode memory %.2f, prefill %.2f".format(java.util.Locale.ROOT, decode, prefill)

    private companion object {
        /** Weight of a new sample. With a sample each 500 ms, the mean follows a change in about two seconds. */
        const val SMOOTHING_FACTOR = 0.25

        /** Share of decode memory above which a burst of twice the load does not fit. */
        const val DECODE_MEMORY_LIMIT = 0.45

        /** With fewer engines, the loss of a decode engine costs more than the stalls during prefills. */
        const val MIN_ENGINES_FOR_PREFILL = 3

        /** Mean utilisation of the prefill engines above which the prompts of a burst have to wait. */
        const val PREFILL_UTILISATION_LIMIT = 0.4
        const val PREFILL_SATURATION = 0.9

        /** One of this many engines is a prefill engine unless the load requires more. */
        const val ENGINES_PER_PREFILL = 4

        /** Minimum time between two changes in multiples of the switch time, so that the first takes effect. */
        const val SWITCHES_BETWEEN_CHANGES = 2

        /** An unanswered order may still be carried out until this time in milliseconds has passed. */
        const val ORDER_EXPIRY_MS = 14_000L

        /** Minimum time between two changes while all engines are idle: the first is acknowledged and known by then. */
        const val IDLE_CHANGE_INTERVAL_MS = 2_000L
    }
}
