package gentiandale.cli.command

import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import gentiandale.cli.client.RecordsResponse
import gentiandale.cli.client.VersionedRecord
import gentiandale.cli.document.RecordDocument
import gentiandale.cli.document.lineDiff
import gentiandale.cli.document.readDocuments

/** Compares the records of a file with those of the VM, without a change. */
internal class DiffCommand : VmCommand("diff", "Shows what applying a file would change. Nothing is changed.") {
    private val file by option("-f", "--file", help = "YAML file; documents are separated by ---.").path().required()

    override fun run() {
        val documents = readInput(file, ::readDocuments)
        val currentRecords = callOrExit {
            it.get("/v1/records", RecordsResponse.serializer())
        }.records.associateBy { "${it.kind}/${it.name}" }
        documents.forEach { compare(it, currentRecords[it.id]) }
    }

    private fun compare(document: RecordDocument, current: VersionedRecord?) {
        val new = if (document.delete) emptyList() else lines(document.spec, document.schema)
        val old = current?.let { lines(it.body, it.schema) }.orEmpty()
        val action = when {
            current == null && document.delete -> "does not exist"
            current == null -> "create"
            document.delete -> "delete version ${current.version}"
            old == new -> "unchanged at version ${current.version}"
            else -> "change version ${current.version}"
        }
        echo("${document.id}: $action")
        val currentVersion = current?.version ?: 0
        if (document.version != currentVersion) {
            echo("  version conflict: based on ${document.version}, current is $currentVersion; apply would be refused")
        }
        if (old != new) lineDiff(old, new).forEach { echo("  $it") }
    }

    private fun lines(body: String, schema: Int) = listOf("schema: $schema") + body.trimEnd().lines()
}
