@file:OptIn(ExperimentalSerializationApi::class)

package gentiandale.cluster

import gentiandale.cluster.cell.CellSummary
import gentiandale.cluster.directory.ServerRow
import gentiandale.cluster.member.MemberRow
import gentiandale.core.Address
import gentiandale.core.Announcement
import gentiandale.core.Incarnation
import gentiandale.core.RecordId
import gentiandale.core.StoredRecord
import gentiandale.core.VmId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * One datagram between two entry VMs.
 *
 * @param incarnation current incarnation of the sender.
 * @param revision revision of the active configuration of the sender.
 * @param confirmedAgeMs milliseconds since a majority last confirmed the configuration of the sender; null if never.
 * @param members gossiped rows of entry VMs.
 * @param servers gossiped rows of backend servers.
 * @param summaries load summaries of cells in the region.
 */
@Serializable
public data class ClusterDatagram(
    @CborLabel(1) val from: VmId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val revision: Long = 0,
    @CborLabel(4) val confirmedAgeMs: Long? = null,
    @CborLabel(5) val body: ClusterMessage? = null,
    @CborLabel(6) val members: List<MemberRow> = emptyList(),
    @CborLabel(7) val servers: List<ServerRow> = emptyList(),
    @CborLabel(8) val summaries: List<CellSummary> = emptyList(),
)

/** Request or answer in a [ClusterDatagram], besides the gossip that the datagram carries. */
@Serializable
public sealed interface ClusterMessage {
    /** Requests an [Ack] with the same [sequence]. */
    @Serializable
    @SerialName("p")
    public data class Ping(
        @CborLabel(1) val sequence: Long,
    ) : ClusterMessage

    /** Answers a [Ping]. If it is relayed for a [PingRequest], [target] is the VM that was pinged. */
    @Serializable
    @SerialName("a")
    public data class Ack(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val target: VmId? = null,
        @CborLabel(3) val targetIncarnation: Incarnation? = null,
    ) : ClusterMessage

    /** Asks the receiver to ping [target] and to relay the [Ack]. */
    @Serializable
    @SerialName("r")
    public data class PingRequest(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val target: VmId,
    ) : ClusterMessage

    /** Message of a comparison of the tables of two VMs. */
    @Serializable
    public sealed interface Sync : ClusterMessage

    /**
     * Starts a comparison of tables.
     *
     * @param root hash over the whole table of the sender.
     * @param joining whether the sender has not had an answer to a comparison since its start.
     */
    @Serializable
    @SerialName("o")
    public data class SyncOpen(
        @CborLabel(1) val root: Long,
        @CborLabel(2) val joining: Boolean = false,
    ) :
        Sync

    /** Answers a [SyncOpen] with the hash of each bucket; [hashes] is empty if the roots are equal. */
    @Serializable
    @SerialName("b")
    public data class SyncBuckets(
        @CborLabel(1) val hashes: List<Int>,
    ) : Sync

    /** Requests the rows of [buckets]. */
    @Serializable
    @SerialName("w")
    public data class SyncWant(
        @CborLabel(1) val buckets: List<Int>,
    ) : Sync

    /** Marks the rows of the datagram as the result of a comparison. The receiver sends back newer rows. */
    @Serializable
    @SerialName("s")
    public data object SyncRows : Sync

    /** Forwards an announcement to the VM that owns the server. */
    @Serializable
    @SerialName("n")
    public data class Announced(
        @CborLabel(1) val announcement: Announcement,
    ) : ClusterMessage

    /** Requests the records changed after revision [since]; [after] is the id of the last record received. */
    @Serializable
    @SerialName("q")
    public data class ConfigurationPull(
        @CborLabel(1) val since: Long,
        @CborLabel(2) val after: String? = null,
    ) : ClusterMessage

    /**
     * Page of the changes of a configuration.
     *
     * @param revision revision after all pages are applied.
     * @param base revision that the changes apply to; 0 if all records are sent.
     * @param after id of the last record before this page; null on the first page.
     * @param last whether this is the last page.
     */
    @Serializable
    @SerialName("c")
    public data class ConfigurationPage(
        @CborLabel(1) val revision: Long,
        @CborLabel(2) val base: Long,
        @CborLabel(3) val records: List<RecordChange>,
        @CborLabel(4) val after: String? = null,
        @CborLabel(5) val last: Boolean = true,
    ) : ClusterMessage
}

/** State of a record since revision [changedAt]; [record] is null if it was deleted. */
@Serializable
public data class RecordChange(
    @CborLabel(1) val id: RecordId,
    @CborLabel(2) val changedAt: Long,
    @CborLabel(3) val record: StoredRecord? = null,
)

/** Datagram that a [ClusterCore] asks its caller to send to [address]; [to] is the VM there, if known. */
public data class OutgoingDatagram(val to: VmId?, val address: Address, val datagram: ClusterDatagram)
