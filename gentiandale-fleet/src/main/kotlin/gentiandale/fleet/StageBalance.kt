package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServerLoad

/**
 * An engine and the load of all entry VMs on it.
 *
 * @param memoryTokens tokens that its memory holds.
 */
public data class EngineUse(val row: BackendRow, val load: ServerLoad, val memoryTokens: Int)

/** An engine that is to change its stage. */
public data class StageChange(val server: BackendRow, val stage: ServerKind, val reason: String)

/**
 * Decides when an engine changes between prefill and decode. It answers lasting shifts between long prompts and long
 * answers: one stage is well used while the other one rests. A change costs seconds of the engine, so short bursts are
 * left to the waiting line, and changes are rare.
 *
 * @param switchMs time in milliseconds for which an engine serves nothing while it changes.
 */
public class StageBalance(private val switchMs: Long) {
    private class Use {
        private var mean: Double? = null

        fun add(sample: Double): Double {
            val next = mean?.let { it + GAIN * (sample - it) } ?: sample
            mean = next
            return next
        }
    }

    private val decodeUse = Use()
    private val prefillUse = Use()
    private var changedMs: Long? = null

    /** Engines that were told to change and have not said that they did. */
    private val changing = HashMap<ServerId, Told>()

    private class Told(val change: StageChange, val atMs: Long)

    /** Notes the present use of [engines] and returns the change to make now, or null. */
    public fun decide(engines: List<EngineUse>, nowMs: Long): StageChange? {
        changing.values.removeIf { told ->
            val isDone = engines.none { it.row.id == told.change.server.id && it.row.kind == told.change.server.kind }
            isDone || nowMs - told.atMs > LATEST_MS + switchMs
        }
        val ready = engines.filter { it.row.state == BackendState.READY && !it.row.silent && it.row.id !in changing }
        val (prefills, decodes) = ready.partition { it.row.kind == ServerKind.PREFILL }
        if (decodes.isEmpty()) return null
        if (prefills.isEmpty()) return firstPrefill(decodes)?.also { remember(it, nowMs) }
        val decode = decodeUse.add(decodes.sumOf { it.load.memoryTokens.toDouble() / it.memoryTokens } / decodes.size)
        val reading = prefills.count { it.load.promptTokens > 0 }.toDouble()
        val prefill = prefillUse.add(reading / prefills.size.coerceAtLeast(1))
        val pauseMs = PAUSES * switchMs
        val isIdle = ready.all { it.load.memoryTokens == 0L && it.load.promptTokens == 0L }
        val paceMs = if (isIdle) IDLE_PAUSE_MS else pauseMs
        if (changedMs?.let { nowMs - it < paceMs } == true) return null
        val change = toRest(prefills, ready.size, prefill)
            ?: toDecode(prefills, decode, prefill)
            ?: toPrefill(decodes, decode, prefill)
        return change?.also { remember(it, nowMs) }
    }

    private fun remember(change: StageChange, nowMs: Long) {
        changedMs = nowMs
        changing[change.server.id] = Told(change, nowMs)
    }

    /** Without a prefill engine each prompt pauses the answers beside it, so one is made at once whatever the load. */
    private fun firstPrefill(decodes: List<EngineUse>): StageChange? {
        val isComing = changing.values.any { it.change.stage == ServerKind.PREFILL }
        if (isComing || decodes.size < LEAST_FOR_SPLIT) return null
        val chosen = decodes.minBy { it.load.memoryTokens }
        return StageChange(chosen.row, ServerKind.PREFILL, "none of ${decodes.size} engines is for prefill")
    }

    /** Notes that the engine [server] did not take the order. */
    public fun onRefused(server: ServerId) {
        changing -= server
    }

    /** A decode server can read prompts as well, a prefill server does nothing else, so few of them are kept. */
    private fun toRest(prefills: List<EngineUse>, engines: Int, busy: Double): StageChange? {
        val wanted = (engines + ENGINES_PER_PREFILL - 1) / ENGINES_PER_PREFILL
        val after = busy * prefills.size / (prefills.size - 1).coerceAtLeast(1)
        if (prefills.size <= wanted || after > PREFILL_LIMIT) return null
        val chosen = prefills.minBy { it.load.promptTokens }
        return StageChange(chosen.row, ServerKind.DECODE, "${prefills.size} of $engines engines are for prefill")
    }

    private fun toDecode(prefills: List<EngineUse>, decode: Double, prefill: Double): StageChange? {
        if (prefills.size < 2 || decode < BUSY) return null
        val after = prefill * prefills.size / (prefills.size - 1)
        if (after > PREFILL_LIMIT) return null
        val chosen = prefills.minBy { it.load.promptTokens }
        return StageChange(chosen.row, ServerKind.DECODE, describe(decode, prefill))
    }

    private fun toPrefill(
        decodes: List<EngineUse>,
        decode: Double,
        prefill: Double,
    ): StageChange? {
        if (decodes.size < 2 || prefill <= PREFILL_BUSY) return null
        val after = decode * decodes.size / (decodes.size - 1)
        if (after > BUSY) return null
        val chosen = decodes.minBy { it.load.memoryTokens }
        return StageChange(chosen.row, ServerKind.PREFILL, describe(decode, prefill))
    }

    private fun describe(decode: Double, prefill: Double) =
        "decode memory %.2f used, prefill %.2f busy".format(java.util.Locale.ROOT, decode, prefill)

    private companion object {
        /** Weight of a sample; with one each half second the value follows in about two seconds. */
        const val GAIN = 0.25

        /** Share of decode memory from which a burst of twice the load finds no room. */
        const val BUSY = 0.45

        /** With fewer engines, one that does not decode costs more than the pauses. */
        const val LEAST_FOR_SPLIT = 3

        /** Prefill servers that are busier than this on average make the prompts of a burst wait. */
        const val PREFILL_LIMIT = 0.4
        const val PREFILL_BUSY = 0.9

        /** Engines of which one is for prefill while nothing else is known of the load. */
        const val ENGINES_PER_PREFILL = 4

        /** Switch times between two changes, so that the effect of the first is seen. */
        const val PAUSES = 2

        /** An order that was not answered may still be carried out until this time, in milliseconds. */
        const val LATEST_MS = 14_000L

        /** Time between two changes while no engine has work: until the first one has answered and is told. */
        const val IDLE_PAUSE_MS = 2_000L
    }
}
