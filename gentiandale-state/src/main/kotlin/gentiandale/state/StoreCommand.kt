package gentiandale.state

import gentiandale.core.FencingNumber
import gentiandale.core.Finding
import gentiandale.core.IdempotencyKey
import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.StoredRecord
import gentiandale.core.VmId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * A record as an operator submits it.
 *
 * @param expectedVersion version that the amendment builds on; 0 to create.
 */
@Serializable
public data class RecordDraft(
    val id: RecordId,
    val schema: Int,
    val expectedVersion: Long,
    val body: String,
    val delete: Boolean = false,
)

/** A change of the replicated store. Each is applied in the same order on every voter. */
@Serializable
public sealed interface StoreCommand {
    /** Wall-clock time of the command in milliseconds. The leader of the voters sets it when it takes the command. */
    public val atMs: Long

    /**
     * Applies all of [drafts] or none. A resend under the same [key] gets the first reply again.
     */
    @Serializable
    public data class ApplyRecords(
        val key: OperationKey,
        val drafts: List<RecordDraft>,
        override val atMs: Long,
    ) : StoreCommand

    /**
     * Claims [key] for one call that must not be repeated.
     *
     * @param bodyDigest digest of the call's body, hexadecimal.
     */
    @Serializable
    public data class ClaimKey(
        val key: IdempotencyKey,
        val bodyDigest: String,
        val holder: VmId,
        override val atMs: Long,
    ) : StoreCommand

    /** Settles a claim of [holder] with [result]. An answer that is stored already stays. */
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

    /** Replaces the document [name] by [document] if that has a higher version than the stored one. */
    @Serializable
    public data class PutDocument(
        val name: String,
        val document: Document,
        override val atMs: Long,
    ) : StoreCommand

    /** Asks for the version of the document [name]. Its place in the log makes the reply current. */
    @Serializable
    public data class ReadDocument(val name: String, override val atMs: Long) : StoreCommand
}

/**
 * A document of operators that is replaced as a whole.
 *
 * @param version chosen by the operator; the highest one is in force.
 * @param content opaque bytes.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class Document(
    public val version: Long,
    @ByteString public val content: ByteArray,
)

/** Returns this command with the time [atMs]. */
internal fun StoreCommand.at(atMs: Long): StoreCommand = when (this) {
    is StoreCommand.ApplyRecords -> copy(atMs = atMs)
    is StoreCommand.ClaimKey -> copy(atMs = atMs)
    is StoreCommand.SettleKey -> copy(atMs = atMs)
    is StoreCommand.AcquireLease -> copy(atMs = atMs)
    is StoreCommand.PutDocument -> copy(atMs = atMs)
    is StoreCommand.ReadDocument -> copy(atMs = atMs)
}

/** Returns the length of the bodies that this command carries, in characters or bytes. */
internal fun StoreCommand.bodyChars(): Int = when (this) {
    is StoreCommand.ApplyRecords -> drafts.sumOf { it.body.length }
    is StoreCommand.SettleKey -> (result as? ClaimResult.Answered)?.body?.length ?: 0
    is StoreCommand.PutDocument -> document.content.size
    is StoreCommand.ClaimKey, is StoreCommand.AcquireLease, is StoreCommand.ReadDocument -> 0
}

/** What became of a claimed call. */
@Serializable
public sealed interface ClaimResult {
    /** No byte of the call left for a backend server. The key is free again. */
    @Serializable
    public data object NotRun : ClaimResult

    /** The call ran and was answered with [status] and [body]. */
    @Serializable
    public data class Answered(val status: Int, val contentType: String, val body: String) : ClaimResult

    /** The call may have run; no answer is known. */
    @Serializable
    public data object Unknown : ClaimResult
}

/** Reply of the store to a [StoreCommand]. */
@Serializable
public sealed interface StoreReply {
    /** All drafts are accepted with these [records] at [revision]. */
    @Serializable
    public data class Accepted(val revision: Long, val records: List<StoredRecord>) : StoreReply

    /** The submission is refused because of [findings]. */
    @Serializable
    public data class Refused(val findings: List<Finding>) : StoreReply

    /** The key is claimed; the call may be sent. */
    @Serializable
    public data object Claimed : StoreReply

    /** The key was claimed before by [holder]; [result] is null while the call runs. */
    @Serializable
    public data class AlreadyClaimed(val holder: VmId, val result: ClaimResult?) : StoreReply

    /** The key was claimed before with another body. */
    @Serializable
    public data object KeyReused : StoreReply

    /** The claim is settled. */
    @Serializable
    public data object Settled : StoreReply

    /** The lease is held with [fencing] for the asked time. */
    @Serializable
    public data class LeaseHeld(val fencing: FencingNumber) : StoreReply

    /** The lease is held by [holder] for up to [remainingMs] milliseconds more. */
    @Serializable
    public data class LeaseTaken(val holder: VmId, val remainingMs: Long) : StoreReply

    /** The document has [version] now; 0 if there is none. */
    @Serializable
    public data class DocumentAt(val version: Long) : StoreReply
}
