package gentiandale.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a call without an answer from a backend server may have run. */
@Serializable
public enum class CallOutcome {
    /** No byte of the call can have reached a backend server. */
    @SerialName("not-run")
    NOT_RUN,

    /** The call may have run. */
    @SerialName("unknown")
    UNKNOWN,
}

/** Reason of a refusal, with its [code] on the wire. */
@Serializable
public enum class RefusalReason(public val code: String) {
    /** The input is malformed. */
    @SerialName("bad-request")
    BAD_REQUEST("bad-request"),

    /** The body exceeds the limit. */
    @SerialName("too-large")
    TOO_LARGE("too-large"),

    /** There is no record or server of that model. */
    @SerialName("unknown-model")
    UNKNOWN_MODEL("unknown-model"),

    /** There is no record of that rank. */
    @SerialName("unknown-rank")
    UNKNOWN_RANK("unknown-rank"),

    /** There is no plain service of that name. */
    @SerialName("unknown-service")
    UNKNOWN_SERVICE("unknown-service"),

    /** The deadline has passed or can't be met. */
    @SerialName("deadline")
    DEADLINE("deadline"),

    /** The backlog is too long to meet the target. */
    @SerialName("overload")
    OVERLOAD("overload"),

    /** No server that could do the work is reachable. */
    @SerialName("no-server")
    NO_SERVER("no-server"),

    /** The idempotency key was used before with another body. */
    @SerialName("key-reused")
    KEY_REUSED("key-reused"),

    /** A call with the same idempotency key is running. */
    @SerialName("in-progress")
    IN_PROGRESS("in-progress"),

    /** No majority of the voters is reachable. */
    @SerialName("no-majority")
    NO_MAJORITY("no-majority"),

    /** The backend server failed. */
    @SerialName("backend-failed")
    BACKEND_FAILED("backend-failed"),

    /** The VM is shutting down. */
    @SerialName("draining")
    DRAINING("draining"),
}

/**
 * Final response to a request that is not served.
 *
 * @param outcome whether the call may have run.
 * @param retryAfterMs delay before a retry in milliseconds; null if a retry is of no use.
 */
@Serializable
public data class Refusal(
    val reason: RefusalReason,
    val outcome: CallOutcome,
    val detail: String,
    val retryAfterMs: Long? = null,
)
