package gentiandale.cli.command

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import gentiandale.cli.Table
import gentiandale.cli.client.Change
import gentiandale.cli.client.History
import java.time.Instant

/** Lists the accepted changes of the records. */
internal class HistoryCommand : VmCommand("history", "Shows the accepted changes with time and operation key.") {
    private val limit by option("--limit", help = "Number of changes to show.").int().restrictTo(1..1_000).default(20)

    override fun run() {
        val history = callOrExit { it.get("/v1/history?limit=$limit", History.serializer()) }
        val header = listOf("REVISION", "TIME", "OPERATION KEY", "RECORDS")
        show(history, History.serializer(), Table(header, history.changes.map(::row)))
    }

    private fun row(change: Change) = listOf(
        change.revision.toString(),
        Instant.ofEpochMilli(change.atMs).toString(),
        change.operationKey.value,
        change.records.joinToString { "${it.kind}/${it.name} ${it.version?.let { v -> "v$v" } ?: "deleted"}" },
    )
}
