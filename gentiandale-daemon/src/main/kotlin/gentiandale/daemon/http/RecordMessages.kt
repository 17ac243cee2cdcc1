package gentiandale.daemon.http

import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.StoredRecord
import gentiandale.core.VmId
import gentiandale.state.Change
import gentiandale.state.RecordDraft
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of `POST /v1/records`: records to submit. */
@Serializable
internal data class SubmissionMessage(
    @SerialName("operation_key") val key: OperationKey = OperationKey(""),
    val records: List<DraftMessage> = emptyList(),
)

/** One record of a [SubmissionMessage]. */
@Serializable
internal data class DraftMessage(
    val kind: String = "",
    val name: String = "",
    val schema: Int = 1,
    @SerialName("expected_version") val expectedVersion: Long = 0,
    val body: String = "",
    val delete: Boolean = false,
) {
    fun toDraft() = RecordDraft(RecordId(kind, name), schema, expectedVersion, body, delete)
}

/** Stored record, as returned over HTTP. */
@Serializable
internal data class RecordMessage(
    val kind: String,
    val name: String,
    val schema: Int,
    val version: Long,
    val body: String,
)

/** Response to an accepted submission and to `GET /v1/records`. */
@Serializable
internal data class RecordsMessage(
    val revision: Long,
    @SerialName("confirmed_ms_ago") val confirmedMsAgo: Long? = null,
    @SerialName("dry_run") val dryRun: Boolean? = null,
    val records: List<RecordMessage>,
)

/** Response to `GET /v1/history`. */
@Serializable
internal data class HistoryMessage(val changes: List<ChangeMessage>)

/** One change of a [HistoryMessage]. */
@Serializable
internal data class ChangeMessage(
    val revision: Long,
    @SerialName("at_ms") val atMs: Long,
    @SerialName("operation_key") val key: OperationKey,
    val records: List<ChangedRecordMessage>,
)

/** One record of a [ChangeMessage]; the version is null if the record was deleted. */
@Serializable
internal data class ChangedRecordMessage(val kind: String, val name: String, val version: Long? = null)

/** Body of `POST /v1/voters`: a VM to add to the voters, one to remove, or both. */
@Serializable
internal data class VotersRequest(val add: VmId? = null, val remove: VmId? = null)

/** Response to `GET` and `POST /v1/voters`: the current voters. */
@Serializable
internal data class VotersMessage(val voters: List<VoterMessage>)

/** One voter: its VM and the identity of its data folder. */
@Serializable
internal data class VoterMessage(val vm: VmId, val folder: String)

internal fun StoredRecord.toMessage() = RecordMessage(id.kind, id.name, schema, version, body)

internal fun Change.toMessage() =
    ChangeMessage(revision, atMs, key, records.map { ChangedRecordMessage(it.id.kind, it.id.name, it.version) })
