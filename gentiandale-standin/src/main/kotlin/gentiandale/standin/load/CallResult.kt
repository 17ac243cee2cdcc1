package gentiandale.standin.load

import gentiandale.core.CallOutcome

/** Result of one request. Times are in milliseconds since it was sent. */
internal sealed interface CallResult {
    /** The complete, correct answer arrived. */
    data class Answered(val firstTokenMs: Double, val gapsMs: List<Double>) : CallResult {
        /** Mean time between tokens in milliseconds; 0 for a single token. */
        val meanGapMs: Double get() = if (gapsMs.isEmpty()) 0.0 else gapsMs.average()
    }

    /** The answer finished, but its text is not the expected one. */
    data class Wrong(val detail: String) : CallResult

    /** The answer ended early, with or without an error event. */
    data class Cut(val detail: String) : CallResult

    /** The request was rejected with an error status. */
    data class Refused(val reason: String, val outcome: CallOutcome?, val afterMs: Double) : CallResult

    /** No connection could be established, or it closed before the first token. */
    data class Unreachable(val detail: String) : CallResult

    /** The request had no result when the run ended. */
    data object Open : CallResult
}
