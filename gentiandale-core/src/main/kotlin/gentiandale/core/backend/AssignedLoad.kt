package gentiandale.core.backend

import gentiandale.core.ServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Load that one or several entry VMs have placed on an engine. Loads are added up, which is why the expected memory
 * use is given at common points ([PROJECTION_STEPS]) instead of as a peak.
 *
 * @param running requests that have not ended.
 * @param promptTokens prompt tokens that the engine has not processed yet.
 * @param memoryTokens tokens that these requests hold in the engine's memory.
 * @param projectedTokens tokens that these requests are expected to hold once each of them has generated as many more
 *   tokens as each of [PROJECTION_STEPS] gives, without those that have ended by then; empty if only the current load
 *   is known.
 */
@Serializable
public data class AssignedLoad(
    @SerialName("i") val id: ServerId,
    @SerialName("r") val running: Int = 0,
    @SerialName("p") val promptTokens: Long = 0,
    @SerialName("m") val memoryTokens: Long = 0,
    @SerialName("a") val projectedTokens: List<Int> = emptyList(),
) {
    /** Largest number of tokens that the requests are expected to hold, without new requests. */
    val peakTokens: Long get() = maxOf(memoryTokens, projectedTokens.maxOrNull()?.toLong() ?: 0)

    /** Returns the sum of this load and [other], a load of the same server. */
    public operator fun plus(other: AssignedLoad): AssignedLoad = combine(other, 1)

    /** Returns this load without [part]. */
    public operator fun minus(part: AssignedLoad): AssignedLoad = combine(part, -1)

    /** Returns the tokens that the requests are expected to hold at the step [index] of [PROJECTION_STEPS]. */
    public fun projectedTokensAt(index: Int): Long = projectedTokens.getOrNull(index)?.toLong() ?: memoryTokens

    private fun combine(other: AssignedLoad, sign: Int): AssignedLoad {
        val sums = PROJECTION_STEPS.indices.map {
            (projectedTokensAt(it) + sign * other.projectedTokensAt(it)).toInt()
        }
        return copy(
            running = running + sign * other.running,
            promptTokens = promptTokens + sign * other.promptTokens,
            memoryTokens = memoryTokens + sign * other.memoryTokens,
            projectedTokens = if (sums.all { it == 0 }) emptyList() else sums,
        )
    }

    /** Points at which the expected memory use is given. */
    public companion object {
        /** Tokens by which each running answer has grown; the last step is close to the longest answers. */
        public val PROJECTION_STEPS: List<Int> = listOf(500, 1_000, 2_000, 3_000, 4_500)
    }
}
