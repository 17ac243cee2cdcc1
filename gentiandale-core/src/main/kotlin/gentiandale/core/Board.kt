package gentiandale.core

import kotlinx.serialization.Serializable

/** State of an entry VM as another entry VM sees it. */
@Serializable
public enum class VmState {
    /** It responds. */
    ALIVE,

    /** It has not responded for a while; other VMs may still reach it. */
    SUSPECT,

    /** It is considered dead. */
    DEAD,

    /** It has announced that it is leaving and takes no new work from peers. */
    LEAVING,
}

/**
 * An entry VM as this process knows it.
 *
 * @param http address for callers, backend servers and operators.
 * @param peer address for the other processes of the system.
 * @param voter whether it votes in the consensus group.
 */
@Serializable
public data class KnownVm(
    val vm: VmId,
    val dataCentre: DataCentreId,
    val region: RegionId,
    val http: Address,
    val peer: Address,
    val voter: Boolean = false,
    val incarnation: Incarnation = Incarnation(0),
    val state: VmState = VmState.ALIVE,
)

/**
 * A backend server as this process knows it.
 *
 * @param load last reported load, which lags behind; all zero where this VM does not receive the reports.
 * @param seenMs monotonic time in milliseconds at which this VM last heard from the server.
 */
public data class KnownServer(val facts: ServerFacts, val load: ServerLoad = ServerLoad(), val seenMs: Long = 0)

/**
 * The accepted configuration.
 *
 * @param revision number that increases with each accepted change and never decreases on a VM.
 */
@Serializable
public data class Configuration(
    val revision: Long = 0,
    val records: List<StoredRecord> = emptyList(),
) {
    /** Returns the record of [id], or null. */
    public fun find(id: RecordId): StoredRecord? = records.find { it.id == id }
}

/**
 * Current configuration of this VM and the time of its last confirmation.
 *
 * @param confirmedMs monotonic time in milliseconds at which a majority last confirmed it as the newest.
 */
public data class ConfirmedConfiguration(val configuration: Configuration = Configuration(), val confirmedMs: Long = 0)

/** Keys of the [Blackboard] cells that several modules use. */
public object Board {
    /** Entry VMs by name, this one included. */
    public val VMS: BoardKey<Map<VmId, KnownVm>> = BoardKey("vms", emptyMap())

    /** Backend servers by name. */
    public val SERVERS: BoardKey<Map<ServerId, KnownServer>> = BoardKey("servers", emptyMap())

    /** Current configuration of this VM. */
    public val CONFIGURATION: BoardKey<ConfirmedConfiguration> = BoardKey("configuration", ConfirmedConfiguration())

    /** Whether this VM is shutting down. */
    public val DRAINING: BoardKey<Boolean> = BoardKey("draining", false)
}
