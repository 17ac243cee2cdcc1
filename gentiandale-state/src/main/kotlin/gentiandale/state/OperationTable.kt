package gentiandale.state

import gentiandale.core.Finding
import gentiandale.core.OperationKey
import gentiandale.core.StoredRecord
import kotlinx.serialization.Serializable

/**
 * Part of the first reply to an operation that cannot be rebuilt from a resend of the same drafts.
 *
 * @param digest hexadecimal digest of the drafts.
 * @param versions versions of the written records, in the order of their drafts; deleted records are left out.
 */
@Serializable
public data class AnsweredOperation(
    val digest: String,
    val atMs: Long,
    val revision: Long = 0,
    val versions: List<Long> = emptyList(),
    val findings: List<Finding> = emptyList(),
)

/** Keeps the first reply to each operation key for [LIFETIME_MS], so that operations are idempotent. */
internal class OperationTable {
    private val answered = LinkedHashMap<OperationKey, AnsweredOperation>()

    val isFull: Boolean get() = answered.size >= MAX_OPERATIONS

    fun find(key: OperationKey): AnsweredOperation? = answered[key]

    fun put(key: OperationKey, operation: AnsweredOperation) {
        answered[key] = operation
    }

    fun expire(nowMs: Long) {
        answered.removeOldestWhile { it.atMs + LIFETIME_MS <= nowMs }
    }

    fun save(): Map<OperationKey, AnsweredOperation> = LinkedHashMap(answered)

    fun load(saved: Map<OperationKey, AnsweredOperation>) {
        answered.clear()
        answered.putAll(saved)
    }

    companion object {
        const val LIFETIME_MS = 24 * 60 * 60 * 1_000L
        const val MAX_OPERATIONS = 20_000
    }
}

/** Rebuilds the first reply from a resend of the same [drafts]. */
internal fun AnsweredOperation.reply(drafts: List<RecordDraft>): StoreReply {
    if (findings.isNotEmpty()) return StoreReply.Refused(findings)
    val records = drafts.filterNot { it.delete }.zip(versions) { draft, version -> draft.toStoredRecord(version) }
    return StoreReply.Accepted(revision, records)
}

internal fun RecordDraft.toStoredRecord(version: Long): StoredRecord = StoredRecord(id, schema, version, body)

/** Removes entries in insertion order, oldest first, while [condition] holds. */
internal fun <K, V> LinkedHashMap<K, V>.removeOldestWhile(condition: (V) -> Boolean) {
    val all = values.iterator()
    while (all.hasNext() && condition(all.next())) all.remove()
}
