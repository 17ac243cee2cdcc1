package gentiandale.cli

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** Format in which answers are printed. */
internal enum class OutputFormat { YAML, JSON, TABLE }

/** Text table of [rows] under [header]; each row has as many cells as [header]. */
internal data class Table(val header: List<String>, val rows: List<List<String>>) {
    /** Formats the table as text with left-aligned columns. */
    fun render(): String {
        val all = listOf(header) + rows
        val widths = header.indices.map { column -> all.maxOf { it[column].length } }
        return all.joinToString("\n") { row ->
            row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}

private val prettyJson = Json {
    prettyPrint = true
    encodeDefaults = true
}

/** Formats [value] as YAML or JSON with [serializer], or prints [tables] for [OutputFormat.TABLE]. */
internal fun <T> OutputFormat.render(value: T, serializer: KSerializer<T>, tables: () -> List<Table>): String =
    when (this) {
        OutputFormat.YAML -> Yaml.default.encodeToString(serializer, value)
        OutputFormat.JSON -> prettyJson.encodeToString(serializer, value)
        OutputFormat.TABLE -> tables().joinToString("\n\n") { it.render() }
    }
