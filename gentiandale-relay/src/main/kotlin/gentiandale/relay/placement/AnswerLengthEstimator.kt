package gentiandale.relay.placement

import gentiandale.relay.upstream.GenerationSize
import kotlin.math.exp
import kotlin.math.ln

/**
 * Estimates the lengths of answers in tokens. The estimate of the caller is right at the median but often off by a
 * factor, and so is the mean of earlier answers on the route; the geometric mean of both is closer than either.
 */
public class AnswerLengthEstimator {
    private val logMeans = HashMap<String, Double>()

    /** Returns the expected length in tokens of an answer on [route]. */
    public fun estimate(route: String, size: GenerationSize): Int {
        val routeLog = logMeans[route] ?: ln(size.answer * INITIAL_SHARE)
        val callerLog = ln(size.expected.coerceAtLeast(1).toDouble())
        return exp((routeLog + callerLog) / 2).toInt().coerceIn(1, size.answer.coerceAtLeast(1))
    }

    /** Records that an answer on [route] had [tokens] tokens. */
    public fun observe(route: String, tokens: Int) {
        if (tokens <= 0) return
        val observed = ln(tokens.toDouble())
        val mean = logMeans[route]
        logMeans[route] = if (mean == null) observed else mean + MEAN_WEIGHT * (observed - mean)
    }

    private companion object {
        /** Most answers end at about half of the limit that the caller sets. */
        const val INITIAL_SHARE = 0.5
        const val MEAN_WEIGHT = 0.1
    }
}
