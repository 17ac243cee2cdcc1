package gentiandale.relay.backend

import gentiandale.core.backend.ServerLoad
import kotlin.math.pow

/**
 * Memory that one generation needs at its decode server: its prompt and what it has made of its answer, which grows.
 *
 * @param promptTokens tokens to read.
 * @param expected median of the lengths that its answer may have, in tokens.
 * @param limit tokens of the longest answer that is allowed.
 */
public class GenerationMemory(
    public val promptTokens: Int,
    public val expected: Int,
    private val limit: Int,
) {
    /** Tokens of the answer that have been made. */
    public var generatedTokens: Int = 0
        internal set

    /** Tokens that it holds. */
    public val tokens: Int get() = promptTokens + generatedTokens

    /** Returns the tokens that it is expected to hold at each of [ServerLoad.STEPS], as its answer may have ended. */
    public fun projectedTokens(): List<Int> = ServerLoad.STEPS.map { ((tokens + it) * probabilityOfMore(it)).toInt() }

    /** Chance that the answer gets [more] tokens more. */
    private fun probabilityOfMore(more: Int): Double {
        val grownTokens = generatedTokens + more
        return if (grownTokens >= limit) 0.0 else survivalProbability(grownTokens) / survivalProbability(generatedTokens)
    }

    /** Log-logistic distribution: lengths scatter by factors around the median. */
    private fun survivalProbability(tokens: Int): Double = 1 / (1 + (tokens.toDouble() / expected).pow(LOG_LOGISTIC_SHAPE))

    private companion object {
        /** Two thirds of the answers are within a factor of 1.37 of what is expected of them, as played days show. */
        const val LOG_LOGISTIC_SHAPE = 5.5
    }
}
