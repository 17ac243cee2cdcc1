package gentiandale.daemon.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import gentiandale.core.FindingsBuilder
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames

/** Validates a YAML document against a serial descriptor and reports all differences, not only the first. */
@OptIn(ExperimentalSerializationApi::class)
internal class SchemaCheck(private val findings: FindingsBuilder) {
    /** Reports the differences of [field] from [schema]. */
    fun check(field: YamlField, schema: SerialDescriptor) {
        when {
            schema.isInline -> check(field, schema.getElementDescriptor(0))
            schema.kind == StructureKind.CLASS -> checkMap(field, schema)
            schema.kind == StructureKind.LIST -> checkList(field, schema)
            schema.kind == SerialKind.ENUM -> checkEnum(field, schema)
            else -> checkScalar(field, schema.kind)
        }
    }

    private fun checkMap(field: YamlField, schema: SerialDescriptor) {
        if (field.node !is YamlMap) return report(field, "A map is expected here.")
        val known = schema.elementNames.toList()
        val entries = field.entries
        (entries.keys - known.toSet()).forEach { key ->
            report(entries.getValue(key), "Unknown key. Allowed here: ${known.joinToString()}.")
        }
        known.forEachIndexed { i, name -> checkElement(field.child(name), schema, i) }
    }

    private fun checkElement(field: YamlField, schema: SerialDescriptor, i: Int) {
        val element = schema.getElementDescriptor(i)
        if (field.isMissing) {
            val allowed = if (field.node == null) schema.isElementOptional(i) else element.isNullable
            if (!allowed) report(field, "This field is required.")
            return
        }
        check(field, element)
        schema.getElementAnnotations(i).filterIsInstance<InRange>().forEach { checkRange(field, it) }
    }

    private fun checkRange(field: YamlField, range: InRange) {
        val value = field.text?.toLongOrNull() ?: return
        if (value !in range.min..range.max) report(field, "$value is not between ${range.min} and ${range.max}.")
    }

    private fun checkList(field: YamlField, schema: SerialDescriptor) {
        if (field.node !is YamlList) return report(field, "A list is expected here.")
        field.items.forEach { check(it, schema.getElementDescriptor(0)) }
    }

    private fun checkEnum(field: YamlField, schema: SerialDescriptor) {
        val known = schema.elementNames.toList()
        if (field.text !in known) report(field, "One of ${known.joinToString()} is expected here.")
    }

    private fun checkScalar(field: YamlField, kind: SerialKind) {
        val text = field.text ?: return report(field, "A single value is expected here.")
        when (kind) {
            PrimitiveKind.STRING -> if (text.isBlank()) report(field, "The text is empty.")
            PrimitiveKind.BOOLEAN ->
                if (text.toBooleanStrictOrNull() == null) report(field, "'$text' is neither true nor false.")
            PrimitiveKind.INT -> if (text.toIntOrNull() == null) report(field, "'$text' is not a whole number.")
            PrimitiveKind.LONG -> if (text.toLongOrNull() == null) report(field, "'$text' is not a whole number.")
            PrimitiveKind.DOUBLE -> if (text.toDoubleOrNull() == null) report(field, "'$text' is not a number.")
            else -> Unit
        }
    }

    private fun report(field: YamlField, message: String) = findings.report(field.path, message, field.line)
}
