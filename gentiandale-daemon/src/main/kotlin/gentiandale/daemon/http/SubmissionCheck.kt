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

/** Returns everything that is wrong with this submission by itself. */
internal fun SubmissionMessage.check(): List<Finding> {
    val shape = findings(SOURCE) {
        check(key.value.isNotBlank(), "operation_key") { "The operation key is missing." }
        check(key.value.length <= MAX_KEY_CHARS, "operation_key") { "It is longer than $MAX_KEY_CHARS characters." }
        check(records.size in 1..MAX_RECORDS, "records") { "There must be 1 to $MAX_RECORDS records." }
        records.forEachIndexed { i, draft ->
            check(NAME.matches(draft.kind), "records[$i].kind") { "'${draft.kind}' is no kind of record." }
            check(NAME.matches(draft.name), "records[$i].name") { "'${draft.name}' is no name." }
            check(draft.schema >= 1, "records[$i].schema") { "A schema is 1 or more." }
            check(draft.expectedVersion >= 0, "records[$i].expected_version") { "A version is 0 or more." }
            check(draft.body.length <= MAX_BODY_CHARS, "records[$i].body") {
                "It is longer than $MAX_BODY_CHARS characters."
            }
        }
    }
    return shape + records.flatMapIndexed { i, draft -> draft.checkBody("records[$i].body.") }
}

/** Returns where this submission builds on other versions than [configuration] has. */
internal fun SubmissionMessage.conflicts(configuration: Configuration): List<Finding> = findings(SOURCE) {
    records.forEachIndexed { i, draft ->
        val id = draft.toDraft().id
        val present = configuration.find(id)?.version ?: 0
        check(draft.expectedVersion == present, "records[$i].expected_version") {
            "$id is at version $present, not ${draft.expectedVersion}."
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
