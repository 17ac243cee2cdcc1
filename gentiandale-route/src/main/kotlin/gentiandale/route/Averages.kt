package gentiandale.route

import kotlin.math.exp

/** Exponentially weighted moving average in which a new sample has the weight [weight]. */
internal class MovingMean(initial: Double, private val weight: Double) {
    /** Current mean. */
    var value: Double = initial
        private set

    /** Adds [sample] to the mean. */
    fun add(sample: Double) {
        value += weight * (sample - value)
    }
}

/** Sum whose parts decay exponentially with a time constant of [decayMs] milliseconds. */
internal class DecayingSum(private val decayMs: Double) {
    private var sum = 0.0
    private var atMs = 0L

    /** Adds [amount] at [nowMs]. */
    fun add(amount: Double, nowMs: Long) {
        sum = valueAt(nowMs) + amount
        atMs = nowMs
    }

    /** Returns the decayed sum at [nowMs]. */
    fun valueAt(nowMs: Long): Double = if (nowMs <= atMs) sum else sum * exp(-(nowMs - atMs) / decayMs)
}
