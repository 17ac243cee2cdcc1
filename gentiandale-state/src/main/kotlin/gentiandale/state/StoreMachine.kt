package gentiandale.state

import gentiandale.core.Configuration
import gentiandale.core.RecordId
import gentiandale.core.StoredRecord
import gentiandale.core.findings
import gentiandale.wire.encodeWire
import java.security.MessageDigest

/**
 * Deterministic state machine of the store: the same commands in the same order produce the same state and replies.
 * Its clock is the latest time carried by any command, so it never goes backwards.
 */
public class StoreMachine {
    private val records = sortedMapOf<String, StoredRecord>()
    private val deleted = LinkedHashMap<RecordId, Long>()
    private val operations = OperationTable()
    private val claims = ClaimTable()
    private val leases = LeaseTable()
    private val departureTable = DepartureTable()
    private val history = ArrayDeque<Change>()
    private val documentsByName = sortedMapOf<String, Document>()
    private var nowMs = 0L

    /** Revision of the current configuration. */
    public var revision: Long = 0
        private set

    /** Returns the current configuration. */
    public fun configuration(): Configuration = Configuration(revision, records.values.toList())

    /** Documents by name. */
    public val documents: Map<String, Document> get() = documentsByName.toMap()

    /** Recorded departures of backend servers. */
    public val departures: Departures get() = departureTable.save()

    /** Revision of [departures]. */
    public val departuresRevision: Long get() = departureTable.revision

    /** Returns the last [limit] changes, newest first. At most [MAX_HISTORY] are kept. */
    public fun history(limit: Int): List<Change> = history.takeLast(limit).reversed()

    /** Returns the record with [id], or null if there is none. */
    public fun find(id: RecordId): StoredRecord? = records[id.toString()]

    /** Applies [command] and returns its reply. */
    public fun apply(command: StoreCommand): StoreReply {
        nowMs = maxOf(nowMs, command.atMs)
        operations.expire(nowMs)
        claims.expire(nowMs)
        departureTable.expire(nowMs)
        return when (command) {
            is StoreCommand.ApplyRecords -> applyOnce(command)
            is StoreCommand.ClaimKey -> claims.claim(command, nowMs)
            is StoreCommand.SettleKey -> claims.settle(command)
            is StoreCommand.AcquireLease -> leases.acquire(command, nowMs)
            is StoreCommand.PutDocument -> put(command)
            is StoreCommand.ReadDocument -> StoreReply.DocumentAt(documentsByName[command.name]?.version ?: 0)
            is StoreCommand.RecordDepartures -> record(command)
        }
    }

    /** Returns a snapshot of the whole state. */
    public fun snapshot(): StoreSnapshot = StoreSnapshot(
        revision = revision,
        nowMs = nowMs,
        records = records.values.toList(),
        deleted = deleted.map { (id, version) -> ChangedRecord(id, version) },
        operations = operations.save(),
        claims = claims.save(),
        leases = leases.save(),
        history = history.toList(),
        documents = documentsByName.toMap(),
        departures = departureTable.save(),
    )

    /** Replaces the whole state with [snapshot]. */
    public fun restore(snapshot: StoreSnapshot) {
        revision = snapshot.revision
        nowMs = snapshot.nowMs
        records.clear()
        snapshot.records.associateByTo(records) { it.id.toString() }
        deleted.clear()
        snapshot.deleted.forEach { deleted[it.id] = it.version ?: 0 }
        operations.load(snapshot.operations)
        claims.load(snapshot.claims)
        leases.load(snapshot.leases)
        history.clear()
        history.addAll(snapshot.history)
        documentsByName.clear()
        documentsByName.putAll(snapshot.documents)
        departureTable.load(snapshot.departures)
    }

    private fun applyOnce(command: StoreCommand.ApplyRecords): StoreReply {
        val digest = digest(command.drafts)
        val first = operations.find(command.key)
        if (first != null) return if (first.digest == digest) first.reply(command.drafts) else keyReused(command)
        if (operations.isFull) return tooManyOperations()
        val operation = applyRecords(command, digest)
        operations.put(command.key, operation)
        return operation.reply(command.drafts)
    }

    private fun applyRecords(command: StoreCommand.ApplyRecords, digest: String): AnsweredOperation {
        val found = findings(SUBMISSION) {
            command.drafts.forEachIndexed { i, draft ->
                val currentVersion = find(draft.id)?.version ?: 0
                check(draft.expectedVersion == currentVersion, "records[$i].expected_version") {
                    "${draft.id} is at version $currentVersion, not ${draft.expectedVersion}."
                }
                check(!draft.delete || currentVersion > 0, "records[$i].delete") { "${draft.id} does not exist." }
                val earlier = command.drafts.subList(0, i).any { it.id == draft.id }
                check(!earlier, "records[$i].name") { "${draft.id} occurs more than once." }
            }
            check(command.drafts.isNotEmpty(), "records") { "The submission contains no records." }
        }
        if (found.isNotEmpty()) return AnsweredOperation(digest, nowMs, findings = found)
        revision++
        val changed = command.drafts.map { ChangedRecord(it.id, put(it)) }
        history.addLast(Change(revision, nowMs, command.key, changed))
        if (history.size > MAX_HISTORY) history.removeFirst()
        return AnsweredOperation(digest, nowMs, revision, changed.mapNotNull { it.version })
    }

    private fun put(command: StoreCommand.PutDocument): StoreReply {
        val currentVersion = documentsByName[command.name]?.version ?: 0
        if (command.document.version <= currentVersion) return StoreReply.DocumentAt(currentVersion)
        documentsByName[command.name] = command.document
        return StoreReply.DocumentAt(command.document.version)
    }

    private fun record(command: StoreCommand.RecordDepartures): StoreReply {
        command.rows.forEach { departureTable.record(it, nowMs) }
        return StoreReply.DeparturesAt(departureTable.revision)
    }

    private fun put(draft: RecordDraft): Long? {
        if (draft.delete) {
            records.remove(draft.id.toString())
            deleted[draft.id] = draft.expectedVersion
            return null
        }
        val lastVersion = deleted.remove(draft.id) ?: draft.expectedVersion
        records[draft.id.toString()] = draft.toStoredRecord(lastVersion + 1)
        return lastVersion + 1
    }

    private fun digest(drafts: List<RecordDraft>): String =
        MessageDigest.getInstance("SHA-256").digest(encodeWire(drafts)).joinToString("") { "%02x".format(it) }

    private fun keyReused(command: StoreCommand.ApplyRecords) = StoreReply.Refused(
        findings(SUBMISSION) { report("operation_key", "${command.key} was already used with other records.") },
    )

    private fun tooManyOperations() = StoreReply.Refused(
        findings(SUBMISSION) {
            report("operation_key", "The limit of ${OperationTable.MAX_OPERATIONS} operations a day is reached.")
        },
    )

    /** Limits of the store. */
    public companion object {
        /** Maximum number of changes kept in the history. */
        public const val MAX_HISTORY: Int = 1_000

        /** Time in milliseconds for which the first reply to an operation key is repeated. */
        public const val OPERATION_LIFETIME_MS: Long = OperationTable.LIFETIME_MS

        private const val SUBMISSION = "submission"
    }
}
