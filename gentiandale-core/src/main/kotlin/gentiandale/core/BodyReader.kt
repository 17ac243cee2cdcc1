package gentiandale.core

import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlScalar

/**
 * Reads typed fields of a YAML body and reports invalid ones to [findings]. An invalid field is read as a placeholder,
 * so that the remaining fields are checked too.
 *
 * @param prefix path of the body, prepended to the name of each reported field.
 */
internal class BodyReader(
    private val body: YamlMap,
    private val findings: FindingsBuilder,
    private val prefix: String,
) {
    private val readFields = mutableSetOf<String>()

    /** Reads a required text that is not blank. */
    fun text(field: String): String {
        val scalar = scalar(field)
        if (scalar == null) {
            if (node(field) == null) report(field, "The field is missing.")
            return ""
        }
        if (scalar.content.isBlank()) report(field, "The field is empty.", scalar.location.line)
        return scalar.content
    }

    /** Reads an integer within [range]. A missing field is read as [default], or reported if [default] is null. */
    fun wholeNumber(field: String, range: LongRange, default: Long? = null): Long =
        number(field, default, "a whole number from ${range.first}${upTo(range)}") {
            it.toLongOrNull()?.takeIf(range::contains)
        } ?: range.first

    /** Reads a number within [range]. A missing field is read as [default]. */
    fun decimal(field: String, range: ClosedFloatingPointRange<Double>, default: Double): Double =
        number(field, default, "a number from ${range.start} to ${range.endInclusive}") {
            it.toDoubleOrNull()?.takeIf(range::contains)
        } ?: default

    /** Checks that the optional [field], which repeats the name of the record, equals [name]. */
    fun checkName(field: String, name: String) {
        val scalar = scalar(field) ?: return
        if (scalar.content != name) {
            report(field, "'${scalar.content}' differs from the record's name '$name'.", scalar.location.line)
        }
    }

    /** Reports the fields that have not been read, because the schema does not contain them. */
    fun reportUnknownFields() {
        body.entries.keys
            .filter { it.content !in readFields }
            .forEach { report(it.content, "The schema has no such field.", it.location.line) }
    }

    private fun <T : Any> number(field: String, default: T?, expected: String, parse: (String) -> T?): T? {
        val scalar = scalar(field)
        if (scalar == null) {
            if (default == null && node(field) == null) report(field, "The field is missing.")
            return default
        }
        val value = parse(scalar.content)
        if (value == null) report(field, "'${scalar.content}' is not $expected.", scalar.location.line)
        return value
    }

    private fun scalar(field: String): YamlScalar? {
        readFields += field
        val node = node(field) ?: return null
        if (node !is YamlScalar) report(field, "The field must be a scalar, not a list or a map.", node.location.line)
        return node as? YamlScalar
    }

    private fun node(field: String) = body.entries.entries.find { it.key.content == field }?.value

    private fun report(field: String, message: String, line: Int? = null) {
        findings.report("$prefix$field", message, line)
    }

    private fun upTo(range: LongRange) = if (range.last == Long.MAX_VALUE) "" else " to ${range.last}"
}
