package gentiandale.standin.fault

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Fault that a stand-in can inject. */
@Serializable
public enum class Fault {
    /** The answer stalls and never continues. */
    @SerialName("stall")
    STALL,

    /** The connection is closed in the middle of the answer. */
    @SerialName("cut")
    CUT,

    /** The process exits in the middle of the answer. */
    @SerialName("die")
    DIE,

    /** The answer is delayed by [FaultPlan.lateMs]. */
    @SerialName("late")
    LATE,

    /** One event of the answer is sent twice. */
    @SerialName("doubled")
    DOUBLED,

    /** One message of the answer carries the identifier of another request. */
    @SerialName("foreign")
    FOREIGN,

    /** A cancel request is acknowledged but not carried out. */
    @SerialName("ignored-cancel")
    IGNORED_CANCEL,

    /** An order with an outdated fencing token is carried out. */
    @SerialName("ignored-fencing")
    IGNORED_FENCING,

    /** The answer says that the server leaves. */
    @SerialName("leaving")
    LEAVING,

    /** The request is refused with 503 and a `Retry-After` of [FaultPlan.lateMs]. */
    @SerialName("rest")
    REST,

    /** The body of the answer continues until the caller closes the connection. */
    @SerialName("endless")
    ENDLESS,
}

/**
 * Faults that a stand-in injects.
 *
 * @param probabilities probability of each fault per request or order, from 0 to 1; a missing fault never occurs.
 * @param lateMs delay of a [Fault.LATE] answer, and rest after a [Fault.REST] one, in milliseconds.
 */
@Serializable
public data class FaultPlan(
    val seed: Long = 0,
    val probabilities: Map<Fault, Double> = emptyMap(),
    @SerialName("late_ms") val lateMs: Long = 2_000,
) {
    init {
        require(probabilities.values.all { it in 0.0..1.0 }) { "Probabilities must be from 0 to 1: $probabilities." }
        require(lateMs >= 0) { "late_ms must not be negative, but is $lateMs." }
    }
}
