package gentiandale.relay.placement

import gentiandale.relay.upstream.GenerationSize

/**
 * Expects lengths of answers, in tokens. The caller's own estimate is often far off, so it is averaged with what the
 * answers of the same route have been.
 */
public class AnswerLengths {
    private val means = HashMap<String, Double>()

    /** Returns the expected length of an answer on [route]. */
    public fun expect(route: String, size: GenerationSize): Int {
        val mean = means[route] ?: (size.answer * INITIAL_SHARE)
        return ((mean + size.expected) / 2).toInt().coerceAtMost(size.answer)
    }

    /** Notes that an answer on [route] had [tokens] tokens. */
    public fun observe(route: String, tokens: Int) {
        val mean = means[route]
        means[route] = if (mean == null) tokens.toDouble() else mean + GAIN * (tokens - mean)
    }

    private companion object {
        /** Most answers end at about half of what the caller allows. */
        const val INITIAL_SHARE = 0.5
        const val GAIN = 0.1
    }
}
