package gentiandale.cli.command

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import gentiandale.cli.OutputFormat
import gentiandale.cli.Table
import gentiandale.cli.client.RecordsResponse
import gentiandale.cli.document.toDocument

/** Shows the current records of a VM. */
internal class GetCommand : VmCommand(
    "get",
    "Shows the current records of the VM. With --output yaml it prints documents that can be edited and applied.",
) {
    private val kind by argument(help = "model, adapter, version, pool or rank; all kinds if omitted.").optional()
    private val name by argument(help = "Name of the record; all records if omitted.").optional()

    override fun run() {
        val path = "/v1/records" + query("kind" to kind, "name" to name)
        val current = callOrExit { it.get(path, RecordsResponse.serializer()) }
        if (format == OutputFormat.YAML) {
            echo(current.records.joinToString("---\n") { it.toDocument() }, trailingNewline = false)
            return
        }
        val rows = current.records.map { listOf(it.kind, it.name, it.schema.toString(), it.version.toString()) }
        show(current, RecordsResponse.serializer(), Table(listOf("KIND", "NAME", "SCHEMA", "VERSION"), rows))
    }
}
