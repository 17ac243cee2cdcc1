package gentiandale.route

import kotlin.math.exp

/** Exponentially weighted mean; new samples weigh [weight]. */
internal class MovingMean(initial: Double, private val weight: Double) {
    /** The mean so far. */
    var value: Double = initial
        private set

    /** Adds [sample]. */
    fun add(sample: Double) {
        value += weight * (sample - value)
    }
}

/** Sum whose parts fade with a time constant of [decayMs] milliseconds. */
internal class DecayingSum(private val decayMs: Double) {
    private var sum = 0.0
    private var atMs = 0L

    /** Adds [amount] at [nowMs]. */
    fun add(amount: Double, nowMs: Long) {
        sum = valueAt(nowMs) + amount
        atMs = nowMs
    }

    /** Returns the sum at [nowMs]. */
    fun valueAt(nowMs: Long): Double = if (nowMs <= atMs) sum else sum * exp(-(nowMs - atMs) / decayMs)
}
