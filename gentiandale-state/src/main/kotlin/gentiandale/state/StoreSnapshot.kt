package gentiandale.state

import gentiandale.core.IdempotencyKey
import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.StoredRecord
import kotlinx.serialization.Serializable

/** Record affected by a [Change]; [version] is null if the change deleted it. */
@Serializable
public data class ChangedRecord(val id: RecordId, val version: Long?)

/**
 * Committed change of the configuration.
 *
 * @param atMs wall-clock time of the change in milliseconds.
 */
@Serializable
public data class Change(
    val revision: Long,
    val atMs: Long,
    val key: OperationKey,
    val records: List<ChangedRecord>,
)

/**
 * Snapshot of the whole state of a [StoreMachine].
 *
 * @param nowMs latest time carried by any command, in milliseconds.
 * @param deleted last version of each deleted record, so that a recreated record gets a higher version.
 */
@Serializable
public data class StoreSnapshot(
    val revision: Long = 0,
    val nowMs: Long = 0,
    val records: List<StoredRecord> = emptyList(),
    val deleted: List<ChangedRecord> = emptyList(),
    val operations: Map<OperationKey, AnsweredOperation> = emptyMap(),
    val claims: Map<IdempotencyKey, Claim> = emptyMap(),
    val leases: Map<String, Lease> = emptyMap(),
    val history: List<Change> = emptyList(),
    val documents: Map<String, Document> = emptyMap(),
    val departures: Departures = Departures(),
)
