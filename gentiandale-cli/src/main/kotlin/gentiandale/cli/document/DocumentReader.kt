package gentiandale.cli.document

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlScalar
import gentiandale.core.Checked
import gentiandale.core.Finding
import gentiandale.core.FindingsBuilder
import gentiandale.core.findings

/** Parses a file of record documents, separated by lines of `---`, and reports all findings together. */
internal fun readDocuments(source: String, text: String): Checked<List<RecordDocument>> {
    val documents = mutableListOf<RecordDocument>()
    val found = findings(source) {
        val parts = splitDocuments(text)
        check(parts.isNotEmpty(), "") { "The file contains no document." }
        parts.mapNotNullTo(documents) { DocumentReader(it, this).read() }
        documents.groupBy { it.id }.values.forEach { same ->
            same.drop(1).forEach {
                report("name", "Duplicate of ${it.id} at line ${same[0].line}.", it.line)
            }
        }
    }
    return if (found.isEmpty()) Checked.Valid(documents) else Checked.Invalid(found)
}

/** Maps the place of [finding], about a submission of [documents], to its line and field in the file [source]. */
internal fun locateInFile(finding: Finding, source: String, documents: List<RecordDocument>): Finding {
    val index = RECORD_FIELD.find(finding.place.field)?.groupValues?.get(1)?.toIntOrNull()
    val document = index?.let(documents::getOrNull) ?: return finding
    val field = finding.place.field.substringAfter('.', "")
    val inBody = field.startsWith("body")
    val line = if (inBody) document.specLine + (finding.place.line ?: 1) - 1 else document.line
    val name = if (inBody) field.replaceFirst("body", "spec") else field.replace("expected_version", "version")
    return Finding(finding.place.copy(source = source, line = line, field = name), "${document.id}: ${finding.message}")
}

private val RECORD_FIELD = Regex("""^records\[(\d+)]""")

/** Text of one document and the zero-based line of the file at which it begins. */
private data class DocumentText(val text: String, val offset: Int)

private fun splitDocuments(text: String): List<DocumentText> {
    val parts = mutableListOf<DocumentText>()
    val lines = text.lines()
    var start = 0
    for (i in 0..lines.size) {
        if (i < lines.size && lines[i].trimEnd() != "---") continue
        val part = lines.subList(start, i)
        if (part.any { it.isNotBlank() && !it.startsWith("#") }) parts += DocumentText(part.joinToString("\n"), start)
        start = i + 1
    }
    return parts
}

/** Parses one document and adds its problems to [findings]. */
private class DocumentReader(private val document: DocumentText, private val findings: FindingsBuilder) {
    fun read(): RecordDocument? {
        val node = try {
            Yaml.default.parseToYamlNode(document.text)
        } catch (e: YamlException) {
            findings.report("", e.message, document.offset + e.line)
            return null
        }
        if (node !is YamlMap) {
            findings.report("", "A document must be a YAML map.", document.offset + node.location.line)
            return null
        }
        return read(node)
    }

    private fun read(map: YamlMap): RecordDocument? {
        val first = document.offset + (map.entries.keys.firstOrNull() ?: map).location.line
        val keys = map.entries.keys.associateBy { it.content }
        (keys - FIELDS.toSet()).values.forEach {
            val message = "Unknown key. Expected one of: ${FIELDS.joinToString()}."
            findings.report(it.content, message, document.offset + it.location.line)
        }
        val kind = text(map, "kind", first)
        val name = text(map, "name", first)
        val schema = number(map, "schema", default = 1)
        val version = number(map, "version", default = 0)
        val delete = map.get<YamlScalar>("delete")?.content == "true"
        val spec = readSpec(keys["spec"], first, delete)
        if (kind == null || name == null) return null
        if (schema == null || version == null || spec == null) return null
        return RecordDocument(kind, name, schema.toInt(), version, spec.text, delete, first, spec.offset)
    }

    private fun text(map: YamlMap, field: String, first: Int): String? {
        val text = map.get<YamlScalar>(field)?.content
        if (text.isNullOrBlank()) findings.report(field, "This field is required.", first)
        return text?.ifBlank { null }
    }

    private fun number(map: YamlMap, field: String, default: Long): Long? {
        val scalar = map.get<YamlScalar>(field) ?: return default
        val number = scalar.content.toIntOrNull()?.takeIf { it >= 0 }
        if (number == null) {
            val line = document.offset + scalar.location.line
            findings.report(field, "'${scalar.content}' is not a non-negative integer.", line)
        }
        return number?.toLong()
    }

    /** Returns the text below the key `spec` unparsed, so that fields of a newer schema are kept as they are. */
    private fun readSpec(key: YamlScalar?, first: Int, delete: Boolean): DocumentText? {
        if (key == null) {
            if (delete) return DocumentText("", first)
            findings.report("spec", "This field is required.", first)
            return null
        }
        val lines = document.text.lines()
        val at = key.location.line - 1
        val inline = lines[at].substringAfter(':').substringBefore(" #").trim()
        if (inline.isNotEmpty()) return DocumentText(inline, document.offset + at + 1)
        val block = lines.drop(at + 1).takeWhile { it.isBlank() || it.first().isWhitespace() || it.startsWith("#") }
        return DocumentText(block.joinToString("\n").trimIndent().trimEnd(), document.offset + at + 2)
    }

    private companion object {
        val FIELDS = listOf("kind", "name", "schema", "version", "delete", "spec")
    }
}
