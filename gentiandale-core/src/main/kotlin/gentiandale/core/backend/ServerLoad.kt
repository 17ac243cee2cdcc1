package gentiandale.core.backend

import gentiandale.core.ServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Load that one or several entry VMs have placed on an engine. Loads can be added, which is why it is told as
 * expectations at common points instead of a peak.
 *
 * @param running requests that have not ended.
 * @param promptTokens prompt tokens that it has not read yet.
 * @param memoryTokens tokens that these requests hold in its memory.
 * @param ahead tokens that they are expected to hold once each of them has made as many more as [STEPS] says, those
 *   that have ended by then left out; empty if nothing is known but the present.
 */
@Serializable
public data class ServerLoad(
    @SerialName("i") val id: ServerId,
    @SerialName("r") val running: Int = 0,
    @SerialName("p") val promptTokens: Long = 0,
    @SerialName("m") val memoryTokens: Long = 0,
    @SerialName("a") val ahead: List<Int> = emptyList(),
) {
    /** Tokens that it is expected to hold when it holds most, without new requests. */
    val peakTokens: Long get() = maxOf(memoryTokens, ahead.maxOrNull()?.toLong() ?: 0)

    /** Returns the sum of both loads of the same server. */
    public operator fun plus(other: ServerLoad): ServerLoad = with(other, 1)

    /** Returns this load without [part]. */
    public operator fun minus(part: ServerLoad): ServerLoad = with(part, -1)

    /** Returns the tokens that it is expected to hold at the step [index] of [STEPS]. */
    public fun aheadAt(index: Int): Long = ahead.getOrNull(index)?.toLong() ?: memoryTokens

    private fun with(other: ServerLoad, sign: Int): ServerLoad {
        val sums = STEPS.indices.map { (aheadAt(it) + sign * other.aheadAt(it)).toInt() }
        return copy(
            running = running + sign * other.running,
            promptTokens = promptTokens + sign * other.promptTokens,
            memoryTokens = memoryTokens + sign * other.memoryTokens,
            ahead = if (sums.all { it == 0 }) emptyList() else sums,
        )
    }

    /** Points at which the future is told. */
    public companion object {
        /** Tokens that each running answer has grown by; the last is close to the longest answers. */
        public val STEPS: List<Int> = listOf(500, 1_000, 2_000, 3_000, 4_500)
    }
}
