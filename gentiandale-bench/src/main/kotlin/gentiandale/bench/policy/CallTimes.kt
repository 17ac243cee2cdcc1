package gentiandale.bench.policy

import org.HdrHistogram.Histogram

/** Calls of a [RoutingPolicy][gentiandale.route.RoutingPolicy]; printed in lower case. */
internal enum class CallKind { SUBMIT, PROGRESS, OBSERVE, TICK }

/** Histograms of the wall-clock duration of calls to a policy, one for each [CallKind]. */
internal class CallTimes {
    private val histograms = CallKind.entries.associateWith { Histogram(MAX_NANOS, DIGITS) }

    /** Records a call of [kind] that took [nanos] nanoseconds. */
    fun add(kind: CallKind, nanos: Long) {
        histograms.getValue(kind).recordValue(nanos.coerceIn(1, MAX_NANOS))
    }

    /** Returns the mean duration of calls of [kind] in microseconds. */
    fun meanMicros(kind: CallKind): Double = histograms.getValue(kind).mean / NANOS_PER_MICRO

    /** Returns the 99th percentile of the duration of calls of [kind] in microseconds. */
    fun p99Micros(kind: CallKind): Double = histograms.getValue(kind).getValueAtPercentile(P99) / NANOS_PER_MICRO

    private companion object {
        const val MAX_NANOS = 10_000_000_000L
        const val DIGITS = 2
        const val P99 = 99.0
        const val NANOS_PER_MICRO = 1_000.0
    }
}
