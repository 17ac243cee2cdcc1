package gentiandale.relay.backend

import gentiandale.core.backend.AssignedLoad
import kotlin.math.pow

/**
 * Memory in tokens that one generation needs at its decode server: its prompt and the growing answer.
 *
 * @param promptTokens tokens of the prompt.
 * @param expected expected median of the answer length in tokens.
 * @param limit longest allowed answer in tokens.
 */
public class GenerationMemory(
    public val promptTokens: Int,
    public val expected: Int,
    private val limit: Int,
) {
    /** Tokens of the answer generated so far. */
    public var generatedTokens: Int = 0
        internal set

    /** Tokens held at present. */
    public val tokens: Int get() = promptTokens + generatedTokens

    /** Returns the tokens expected at each of [AssignedLoad.PROJECTION_STEPS], by the chance of still running. */
    public fun projectedTokens(): List<Int> =
        AssignedLoad.PROJECTION_STEPS.map { ((tokens + it) * probabilityOfMore(it)).toInt() }

    /** Returns the probability that the answer gets at least [more] further tokens. */
    private fun probabilityOfMore(more: Int): Double {
        val total = generatedTokens + more
        return if (total >= limit) 0.0 else survivalProbability(total) / survivalProbability(generatedTokens)
    }

    /** Returns the chance of an answer longer than [tokens]: lengths are log-logistic, scattered around the median. */
    private fun survivalProbability(tokens: Int): Double =
        1 / (1 + (tokens.toDouble() / expected).pow(LOG_LOGISTIC_SHAPE))

    private companion object {
        /** In simulated days, two thirds of the answers are within a factor of 1.37 of the expected length. */
        const val LOG_LOGISTIC_SHAPE = 5.5
    }
}
