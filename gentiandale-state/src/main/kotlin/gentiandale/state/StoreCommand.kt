package gentiandale.state

import gentiandale.core.FencingNumber
import gentiandale.core.Finding
import gentiandale.core.IdempotencyKey
import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.StoredRecord
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Record as submitted by an operator.
 *
 * @param expectedVersion version that the record must currently have; 0 to create it.
 * @param delete whether to delete the record instead of writing it.
 */
@Serializable
public data class RecordDraft(
    val id: RecordId,
    val schema: Int,
    val expectedVersion: Long,
    val body: String,
    val delete: Boolean = false,
)

/** Command to the replicated store. All voters apply the same commands in the same order. */
@Serializable
public sealed interface StoreCommand {
    /** Wall-clock time of the command in milliseconds, set by the leader when it proposes the command. */
    public val atMs: Long

    /** Applies all [drafts] or none. A resend under the same [key] gets the first reply. */
    @Serializable
    public data class ApplyRecords(
        val key: OperationKey,
        val drafts: List<RecordDraft>,
        override val atMs: Long,
    ) : StoreCommand

    /**
     * Claims [key] for one call that must run at most once.
     *
     * @param bodyDigest hexadecimal digest of the call's body.
     */
    @Serializable
    public data class ClaimKey(
        val key: IdempotencyKey,
        val bodyDigest: String,
        val holder: VmId,
        override val atMs: Long,
    ) : StoreCommand

    /** Settles a claim of [holder] with [result]. It does not overwrite a stored answer. */
    @Serializable
    public data class SettleKey(
        val key: IdempotencyKey,
        val holder: VmId,
        val result: ClaimResult,
        override val atMs: Long,
    ) : StoreCommand

    /** Acquires or renews the lease [name] for [holder] for [ttlMs] milliseconds. */
    @Serializable
    public data class AcquireLease(
        val name: String,
        val holder: VmId,
        val ttlMs: Long,
        override val atMs: Long,
    ) : StoreCommand

    /** Replaces the document [name] with [document] if its version is higher than that of the stored one. */
    @Serializable
    public data class PutDocument(
        val name: String,
        val document: Document,
        override val atMs: Long,
    ) : StoreCommand

    /** Reads the version of the document [name]. It goes through the log, so that the read is linearizable. */
    @Serializable
    public data class ReadDocument(val name: String, override val atMs: Long) : StoreCommand

    /**
     * Records the departures of the backend servers [rows], each unless a newer row of its server is recorded. Without
     * rows it reads the revision of the departures; the read is linearizable.
     */
    @Serializable
    public data class RecordDepartures(val rows: List<BackendRow>, override val atMs: Long) : StoreCommand
}

/**
 * Operator document that is replaced as a whole.
 *
 * @param version version chosen by the operator; the highest one is in force.
 * @param content content, opaque to the store.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class Document(
    public val version: Long,
    @ByteString public val content: ByteArray,
)

/** Returns a copy of this command with the time [atMs]. */
internal fun StoreCommand.at(atMs: Long): StoreCommand = when (this) {
    is StoreCommand.ApplyRecords -> copy(atMs = atMs)
    is StoreCommand.ClaimKey -> copy(atMs = atMs)
    is StoreCommand.SettleKey -> copy(atMs = atMs)
    is StoreCommand.AcquireLease -> copy(atMs = atMs)
    is StoreCommand.PutDocument -> copy(atMs = atMs)
    is StoreCommand.ReadDocument -> copy(atMs = atMs)
    is StoreCommand.RecordDepartures -> copy(atMs = atMs)
}

/** Returns the total length of the bodies in this command: characters for text, bytes for documents. */
internal fun StoreCommand.bodyChars(): Int = when (this) {
    is StoreCommand.ApplyRecords -> drafts.sumOf { it.body.length }
    is StoreCommand.SettleKey -> (result as? ClaimResult.Answered)?.body?.length ?: 0
    is StoreCommand.PutDocument -> document.content.size
    is StoreCommand.RecordDepartures -> rows.size * ROW_CHARS
    is StoreCommand.ClaimKey, is StoreCommand.AcquireLease, is StoreCommand.ReadDocument -> 0
}

/** Length of a typical row of a backend server. */
private const val ROW_CHARS = 200

/** Result of a call whose key was claimed. */
@Serializable
public sealed interface ClaimResult {
    /** No byte of the call was sent to a backend server; the key is released. */
    @Serializable
    public data object NotRun : ClaimResult

    /** The call ran and got a response with [status] and [body]. */
    @Serializable
    public data class Answered(val status: Int, val contentType: String, val body: String) : ClaimResult

    /** The call may have run, but its response is not available. */
    @Serializable
    public data object Unknown : ClaimResult
}

/** Reply of the store to a [StoreCommand]. */
@Serializable
public sealed interface StoreReply {
    /** All drafts were applied; [records] are the written records at [revision]. */
    @Serializable
    public data class Accepted(val revision: Long, val records: List<StoredRecord>) : StoreReply

    /** The command was rejected because of [findings]. */
    @Serializable
    public data class Refused(val findings: List<Finding>) : StoreReply

    /** The key is now claimed, so the call may be sent. */
    @Serializable
    public data object Claimed : StoreReply

    /** The key is already claimed by [holder]; [result] is null while the call is running. */
    @Serializable
    public data class AlreadyClaimed(val holder: VmId, val result: ClaimResult?) : StoreReply

    /** The key is already claimed for a call with a different body. */
    @Serializable
    public data object KeyReused : StoreReply

    /** The claim is settled, or there was nothing to settle. */
    @Serializable
    public data object Settled : StoreReply

    /** The lease is granted for the requested time, with the fencing token [fencing]. */
    @Serializable
    public data class LeaseHeld(val fencing: FencingNumber) : StoreReply

    /** The lease is held by [holder] and expires in [remainingMs] milliseconds unless it is renewed. */
    @Serializable
    public data class LeaseTaken(val holder: VmId, val remainingMs: Long) : StoreReply

    /** Current [version] of the document; 0 if there is none. */
    @Serializable
    public data class DocumentAt(val version: Long) : StoreReply

    /** Current [revision] of the departures of backend servers. */
    @Serializable
    public data class DeparturesAt(val revision: Long) : StoreReply
}
