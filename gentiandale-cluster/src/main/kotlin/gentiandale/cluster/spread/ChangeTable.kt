package gentiandale.cluster.spread

import gentiandale.cluster.RecordChange
import gentiandale.core.Configuration
import gentiandale.core.StoredRecord
import kotlinx.serialization.Serializable

/**
 * Configuration with the revision of the last change of each record.
 *
 * @param floor lowest revision since which [changes] holds every change, including deletions.
 */
@Serializable
public data class ConfigurationState(
    val revision: Long = 0,
    val floor: Long = 0,
    val changes: List<RecordChange> = emptyList(),
) {
    /** Returns the configuration without its change history. */
    public fun toConfiguration(): Configuration = Configuration(revision, changes.mapNotNull { it.record })
}

/** Records and deletions with the revision of their last change. */
internal class ChangeTable(state: ConfigurationState) {
    private val changes = state.changes.associateByTo(sortedMapOf()) { it.id.toString() }

    var revision = state.revision
        private set

    /** Lowest revision since which this table holds every change. */
    var floor = state.floor
        private set

    fun configuration(): Configuration = Configuration(revision, changes.values.mapNotNull { it.record })

    fun state(): ConfigurationState = ConfigurationState(revision, floor, changes.values.toList())

    /**
     * Replaces the records by those of a [configuration] that the store accepted. If revisions were skipped, deletions
     * in between may be unknown, so [floor] rises to the new revision.
     */
    fun accept(configuration: Configuration) {
        val accepted = configuration.records.associateBy { it.id.toString() }
        accepted.values.filter { changes[it.id.toString()]?.record != it }.forEach { put(it, configuration.revision) }
        val deleted = changes.values.filter { it.record != null && it.id.toString() !in accepted }
        deleted.forEach { changes[it.id.toString()] = RecordChange(it.id, configuration.revision) }
        if (configuration.revision != revision + 1) floor = configuration.revision
        revision = configuration.revision
        dropOldDeletions()
    }

    /** Applies the [received] changes from revision [base] to [newRevision]; a base of 0 replaces all records. */
    fun apply(base: Long, newRevision: Long, received: List<RecordChange>) {
        if (base == 0L) {
            changes.clear()
            floor = newRevision
        }
        received.forEach { changes[it.id.toString()] = it }
        revision = newRevision
        dropOldDeletions()
    }

    /** Returns the changes after revision [since], or null if it is older than [floor] or 0. */
    fun since(since: Long): List<RecordChange>? =
        if (since < floor || since == 0L) null else changes.values.filter { it.changedAt > since }

    /** Returns all records that are not deleted. */
    fun presentRecords(): List<RecordChange> = changes.values.filter { it.record != null }

    private fun put(record: StoredRecord, at: Long) {
        changes[record.id.toString()] = RecordChange(record.id, at, record)
    }

    private fun dropOldDeletions() {
        val deletions = changes.values.filter { it.record == null }.sortedBy { it.changedAt }
        deletions.dropLast(MAX_DELETIONS).forEach {
            changes.remove(it.id.toString())
            floor = maxOf(floor, it.changedAt)
        }
    }

    private companion object {
        const val MAX_DELETIONS = 1_000
    }
}
