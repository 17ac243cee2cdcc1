package gentiandale.core.backend

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Name of the service that a backend server belongs to. */
@Serializable
@JvmInline
public value class ServiceName(public val value: String) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Whether a backend server takes new work. */
@Serializable
public enum class BackendState {
    /** It takes new work. */
    @SerialName("r")
    READY,

    /** It finishes its running requests and takes no new work. */
    @SerialName("d")
    LEAVING,

    /** It has shut down. */
    @SerialName("g")
    GONE,
}

/**
 * Newest known state of a backend server, from its heartbeats.
 *
 * @param incarnation start time of its process in milliseconds since the epoch; the latest one wins.
 * @param sequence number of the heartbeat within the incarnation; the highest one is the newest.
 * @param places requests that it runs at once.
 * @param weights version of its model weights; 0 where it has none or reports none.
 * @param silent whether control VMs have received no heartbeat for several intervals.
 * @param software version of its software.
 * @param departing whether it has said in an answer that it leaves, which holds for the rest of its incarnation.
 */
@Serializable
public data class BackendRow(
    @SerialName("i") val id: ServerId,
    @SerialName("b") val incarnation: Incarnation,
    @SerialName("q") val sequence: Long,
    @SerialName("s") val service: ServiceName,
    @SerialName("a") val address: Address,
    @SerialName("z") val dataCentre: DataCentreId,
    @SerialName("t") val state: BackendState,
    @SerialName("k") val kind: ServerKind,
    @SerialName("p") val places: Int,
    @SerialName("w") val weights: Long = 0,
    @SerialName("x") val silent: Boolean = false,
    @SerialName("l") val departing: Boolean = false,
    @SerialName("v") val software: SoftwareVersion = SoftwareVersion.UNKNOWN,
) {
    /** Whether it accepts new work. */
    val acceptsWork: Boolean get() = state == BackendState.READY && !departing

    /** Returns whether this row is newer than [other], a row of the same server. */
    public fun isNewerThan(other: BackendRow): Boolean = when {
        incarnation != other.incarnation -> incarnation > other.incarnation
        (state == BackendState.GONE) != (other.state == BackendState.GONE) -> state == BackendState.GONE
        sequence != other.sequence -> sequence > other.sequence
        else -> !silent && other.silent
    }

    /** Returns whether the rows differ in more than the sequence number, so that entry VMs have to be told. */
    public fun differsFrom(other: BackendRow): Boolean = copy(sequence = other.sequence) != other
}
