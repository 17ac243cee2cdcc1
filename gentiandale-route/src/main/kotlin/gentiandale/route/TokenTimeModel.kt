package gentiandale.route

/**
 * Learns the time between two tokens of a decode engine as a line over the size of its batch. Old samples fade. A
 * sample counts at most a few times the expectation, and the limit of the batch never falls below half of the places,
 * since a stalled stream or a caller that reads slowly looks like a slow engine.
 */
internal class TokenTimeModel {
    private var count = 0.0
    private var sumX = 0.0
    private var sumY = 0.0
    private var sumXx = 0.0
    private var sumXy = 0.0
    private var slopeMs = 0.0
    private var baseMs = DEFAULT_TOKEN_MS

    /** Adds a request whose tokens came every [observedMs] milliseconds in a batch of [batch]. */
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

    /** Returns the expected time between tokens in a batch of [batch], in milliseconds. */
    fun tokenMs(batch: Int): Double = baseMs + slopeMs * batch

    /** Returns the largest batch up to [places] whose tokens come within [targetMs], but at least half of them. */
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
