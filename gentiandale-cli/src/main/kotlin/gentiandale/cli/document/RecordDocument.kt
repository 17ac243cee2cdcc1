package gentiandale.cli.document

import gentiandale.cli.client.SubmittedRecord
import gentiandale.cli.client.VersionedRecord

/**
 * Record as written in a file by an operator.
 *
 * @param version version that the change is based on; 0 creates the record.
 * @param spec body of the record in YAML, without its indentation in the file.
 * @param line one-based line of the document in its file.
 * @param specLine one-based line in the file at which [spec] begins.
 */
internal data class RecordDocument(
    val kind: String,
    val name: String,
    val schema: Int,
    val version: Long,
    val spec: String,
    val delete: Boolean,
    val line: Int,
    val specLine: Int,
) {
    /** Name of the record, as `kind/name`. */
    val id: String get() = "$kind/$name"

    /** Converts the document to a record of a submission. */
    fun toSubmittedRecord() = SubmittedRecord(kind, name, schema, version, spec, delete)
}

/** Formats this record as a document that can be edited and applied again. */
internal fun VersionedRecord.toDocument(): String = buildString {
    appendLine("kind: $kind")
    appendLine("name: $name")
    appendLine("schema: $schema")
    appendLine("version: $version")
    appendLine("spec:")
    body.trimEnd().lines().forEach { appendLine("  $it".trimEnd()) }
}
