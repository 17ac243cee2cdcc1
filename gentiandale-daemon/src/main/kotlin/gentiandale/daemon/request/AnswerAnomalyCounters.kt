package gentiandale.daemon.request

import java.util.concurrent.atomic.LongAdder

/** Reason why a part of an answer was dropped or delayed instead of being passed on as it arrived. */
internal enum class AnswerAnomaly {
    /** Its attempt or request has ended. */
    LATE,

    /** Its token has already been received. */
    DOUBLED,

    /** It belongs to another request, or to an attempt that was never started. */
    MISDIRECTED,

    /** It arrived ahead of a missing token. */
    OUT_OF_ORDER,
}

/** Counts anomalies in the answers of engines and of other VMs. Thread-safe. */
internal class AnswerAnomalyCounters {
    private val counts = AnswerAnomaly.entries.associateWith { LongAdder() }

    /** Counts one anomaly of [kind]. */
    fun add(kind: AnswerAnomaly) = counts.getValue(kind).increment()

    /** Returns the number of anomalies of [kind] so far. */
    operator fun get(kind: AnswerAnomaly): Long = counts.getValue(kind).sum()
}
