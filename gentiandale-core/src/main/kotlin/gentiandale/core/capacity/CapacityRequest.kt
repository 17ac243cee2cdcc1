package gentiandale.core.capacity

import gentiandale.core.ServerId
import gentiandale.core.backend.ServiceName
import gentiandale.core.customer.CustomerName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A request that waits at an entry VM for capacity of [service]. All times are in milliseconds and relative to the
 * moment at which it is sent, so that clocks of several VMs are never compared.
 *
 * @param number identifies it among the requests of its entry VM.
 * @param urgency rank of the work; 0 is the most urgent.
 * @param customer customer that sent it, or null if the configuration has none.
 * @param ageMs time since it arrived.
 * @param targetMs time until its answer, or the first event of a stream, is due; negative if it is late.
 * @param leftMs time until its deadline.
 * @param durationMs usual time from sending such a request to its answer, or to the first event of a stream.
 * @param tokens memory that it needs at a decode server; 0 for a plain call.
 */
@Serializable
public data class CapacityRequest(
    @SerialName("n") val number: Long,
    @SerialName("s") val service: ServiceName,
    @SerialName("u") val urgency: Int,
    @SerialName("c") val customer: CustomerName? = null,
    @SerialName("r") val route: String,
    @SerialName("a") val ageMs: Long,
    @SerialName("t") val targetMs: Long,
    @SerialName("l") val leftMs: Long,
    @SerialName("d") val durationMs: Long,
    @SerialName("m") val tokens: Int = 0,
)

/** Answer to a [CapacityRequest]. */
public sealed interface CapacityAnswer {
    /**
     * There is capacity.
     *
     * @param server server to use, or null if the entry VM chooses one.
     * @param validMs time in milliseconds within which the request must be sent.
     */
    public data class Granted(val server: ServerId?, val validMs: Long) : CapacityAnswer

    /** There will be no capacity before the deadline; a retry after [retryAfterMs] milliseconds has a chance. */
    public data class Refused(val reason: String, val retryAfterMs: Long) : CapacityAnswer

    /** No control VM has answered in time; the entry VM decides by what it knows. */
    public data object Unanswered : CapacityAnswer
}
