package gentiandale.daemon.http

import gentiandale.core.Configuration
import gentiandale.core.Finding
import gentiandale.core.ParsedRecord
import gentiandale.core.findings
import gentiandale.core.parseRecord

private const val SOURCE = "submission"
private const val MAX_RECORDS = 1_000
private const val MAX_BODY_CHARS = 65_536
private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")

/** Returns the findings about this submission that don't depend on the stored configuration. */
internal fun SubmissionMessage.check(): List<Finding> {
    val ownFindings = findings(SOURCE) {
        check(key.value.isNotBlank(), "operation_key") { "The operation key is required." }
        check(key.value.length <= MAX_KEY_CHARS, "operation_key") { "The key has more than $MAX_KEY_CHARS characters." }
        check(records.size in 1..MAX_RECORDS, "records") { "${records.size} records; 1 to $MAX_RECORDS are allowed." }
        records.forEachIndexed { i, draft ->
            check(NAME.matches(draft.kind), "records[$i].kind") { "'${draft.kind}' is not a valid record kind." }
            check(NAME.matches(draft.name), "records[$i].name") { "'${draft.name}' is not a valid name." }
            check(draft.schema >= 1, "records[$i].schema") { "${draft.schema} is less than 1." }
            check(draft.expectedVersion >= 0, "records[$i].expected_version") {
                "${draft.expectedVersion} is less than 0."
            }
            check(draft.body.length <= MAX_BODY_CHARS, "records[$i].body") {
                "The body has more than $MAX_BODY_CHARS characters."
            }
        }
    }
    return ownFindings + records.flatMapIndexed { i, draft -> draft.checkBody("records[$i].body.") }
}

/** Returns a finding for each record whose expected version differs from its version in [configuration]. */
internal fun SubmissionMessage.conflicts(configuration: Configuration): List<Finding> = findings(SOURCE) {
    records.forEachIndexed { i, draft ->
        val id = draft.toDraft().id
        val currentVersion = configuration.find(id)?.version ?: 0
        check(draft.expectedVersion == currentVersion, "records[$i].expected_version") {
            "$id is at version $currentVersion, not ${draft.expectedVersion}."
        }
    }
}

private fun DraftMessage.checkBody(prefix: String): List<Finding> {
    if (delete || schema < 1 || body.length > MAX_BODY_CHARS) return emptyList()
    return when (val parsed = parseRecord(toDraft().id, schema, body, SOURCE, prefix)) {
        is ParsedRecord.Invalid -> parsed.findings
        is ParsedRecord.Valid, is ParsedRecord.Unrecognised -> emptyList()
    }
}

private const val MAX_KEY_CHARS = 200
