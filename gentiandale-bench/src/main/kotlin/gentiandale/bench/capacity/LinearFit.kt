package gentiandale.bench.capacity

/** Measured [value] at a given [size] of the system. */
public data class Sample(val size: Double, val value: Double)

/**
 * Straight line fitted to [samples][Sample] by least squares.
 *
 * @param slope change of the value per unit of size.
 * @param intercept value at size 0.
 * @param rSquared coefficient of determination: fraction of the variance that the line explains, from 0 to 1.
 * @param largestSize largest size among the samples.
 */
public data class LinearFit(
    val slope: Double,
    val intercept: Double,
    val rSquared: Double,
    val largestSize: Double,
) {
    /** Returns the value that the line predicts for [size]. */
    public fun valueAt(size: Double): Double = intercept + slope * size

    /** Returns the ratio of [size] to the largest measured size. */
    public fun extrapolationFactor(size: Double): Double = size / largestSize

    /** Creates [LinearFit] instances. */
    public companion object {
        /** Minimum number of distinct sizes for a fit. */
        public const val MIN_SIZES: Int = 4

        /** Fits a line to [samples], or returns null if they have fewer than [MIN_SIZES] distinct sizes. */
        public fun of(samples: List<Sample>): LinearFit? {
            if (samples.distinctBy { it.size }.size < MIN_SIZES) return null
            val meanSize = samples.map { it.size }.average()
            val meanValue = samples.map { it.value }.average()
            val sizeSquares = samples.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val valueSquares = samples.sumOf { (it.value - meanValue) * (it.value - meanValue) }
            val products = samples.sumOf { (it.size - meanSize) * (it.value - meanValue) }
            val slope = products / sizeSquares
            val rSquared = if (valueSquares == 0.0) 1.0 else products * products / (sizeSquares * valueSquares)
            return LinearFit(slope, meanValue - slope * meanSize, rSquared, samples.maxOf { it.size })
        }
    }
}
