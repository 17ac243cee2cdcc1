package gentiandale.route

/**
 * Learns the time between two tokens of a decode engine by linear regression over the batch size, with exponential
 * decay of old samples. A sample is clamped to a multiple of the expected value, and the batch limit never falls below
 * half of the places, since a stalled stream or a caller that reads slowly looks like a slow engine.
 */
internal class TokenTimeModel {
    private var count = 0.0
    private var sumX = 0.0
    private var sumY = 0.0
    private var sumXx = 0.0
    private var sumXy = 0.0
    private var slopeMs = 0.0
    private var baseMs = DEFAULT_TOKEN_MS

    /** Adds a sample: tokens of a request arrived every [observedMs] milliseconds in a batch of size [batch]. */
    fun add(batch: Double, observedMs: Double) {
        val tokenMs = observedMs.coerceAtMost(MAX_OUTLIER * (baseMs + slopeMs * batch).coerceAtLeast(MIN_TOKEN_MS))
        count = count * DECAY + 1
        sumX = sumX * DECAY + batch
        sumY = sumY * DECAY + tokenMs
        sumXx = sumXx * DECAY + batch * batch
        sumXy = sumXy * DECAY + batch * tokenMs
        slopeMs = slope()
        baseMs = (sumY - slopeMs * sumX) / count
    }

    /** Returns the expected time between two tokens in a batch of size [batch], in milliseconds. */
    fun tokenMs(batch: Int): Double = baseMs + slopeMs * batch

    /** Returns the largest batch size up to [places] that meets [targetMs] between tokens, but at least half of it. */
    fun batchWithin(targetMs: Long, places: Int): Int {
        if (slopeMs <= 0 || tokenMs(places) <= targetMs) return places
        return ((targetMs - baseMs) / slopeMs).toInt().coerceIn((places + 1) / 2, places)
    }

    private fun slope(): Double {
        val spread = sumXx - sumX * sumX / count
        if (count < MIN_SAMPLES || spread < MIN_SPREAD * count) return 0.0
        return ((sumXy - sumX * sumY / count) / spread).coerceAtLeast(0.0)
    }

    private companion object {
        const val DECAY = 0.99
        const val MIN_SAMPLES = 8.0
        const val MIN_SPREAD = 0.5
        const val MAX_OUTLIER = 3.0
        const val MIN_TOKEN_MS = 5.0
        const val DEFAULT_TOKEN_MS = 40.0
    }
}
