package gentiandale.cli.client

import gentiandale.core.CallOutcome
import gentiandale.core.Finding
import gentiandale.core.OperationKey
import gentiandale.core.RequestId
import gentiandale.core.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of `POST /v1/records`. */
@Serializable
internal data class Submission(
    @SerialName("operation_key") val operationKey: OperationKey,
    val records: List<SubmittedRecord>,
)

/**
 * One record of a [Submission].
 *
 * @param expectedVersion version that the change is based on, for optimistic locking; 0 creates the record.
 */
@Serializable
internal data class SubmittedRecord(
    val kind: String,
    val name: String,
    val schema: Int,
    @SerialName("expected_version") val expectedVersion: Long,
    val body: String,
    val delete: Boolean = false,
)

/** Stored record with its current version. */
@Serializable
internal data class VersionedRecord(
    val kind: String,
    val name: String,
    val schema: Int,
    val version: Long,
    val body: String,
)

/** Answer to an accepted [Submission]. */
@Serializable
internal data class SubmissionResponse(val revision: Long, val records: List<VersionedRecord> = emptyList())

/** Answer of `GET /v1/records`. */
@Serializable
internal data class RecordsResponse(
    val revision: Long,
    @SerialName("confirmed_ms_ago") val confirmedMsAgo: Long? = null,
    val records: List<VersionedRecord> = emptyList(),
)

/** Answer of `GET /v1/history`. */
@Serializable
internal data class History(val changes: List<Change> = emptyList())

/** One accepted change. */
@Serializable
internal data class Change(
    val revision: Long,
    @SerialName("at_ms") val atMs: Long,
    @SerialName("operation_key") val operationKey: OperationKey,
    val records: List<ChangedRecord> = emptyList(),
)

/** Record that a [Change] touched, with its new [version]; null if the change deleted it. */
@Serializable
internal data class ChangedRecord(val kind: String, val name: String, val version: Long? = null)

/** Answer of `GET /v1/requests/{request}`. */
@Serializable
internal data class Explanation(val request: RequestId, val events: List<RequestEvent> = emptyList())

/** One routing decision about a request. */
@Serializable
internal data class RequestEvent(
    @SerialName("at_ms") val atMs: Long,
    val vm: VmId,
    val text: String,
)

/** Body of `POST /v1/drain`; a [limitMs] of 0 waits for running requests without a limit. */
@Serializable
internal data class DrainRequest(
    @SerialName("limit_ms") val limitMs: Long,
)

/** Body of `POST /v1/voters`: the VM to add or to remove as a voter. */
@Serializable
internal data class VotersChange(val add: VmId? = null, val remove: VmId? = null)

/** Answer of `POST /v1/voters`: the voters after the change. */
@Serializable
internal data class Voters(val voters: List<Voter> = emptyList())

/** Voter and the identity of its data folder. */
@Serializable
internal data class Voter(val vm: VmId, val folder: String)

/** Problem document that a VM sends with a refusal. */
@Serializable
internal data class ProblemBody(
    val reason: String = "unreadable",
    val detail: String = "",
    val outcome: CallOutcome? = null,
    @SerialName("retry_after_ms") val retryAfterMs: Long? = null,
    val findings: List<Finding> = emptyList(),
)
