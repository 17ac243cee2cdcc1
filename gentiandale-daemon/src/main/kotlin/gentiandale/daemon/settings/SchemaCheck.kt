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

/** Compares a YAML document with a serial descriptor and reports every difference, not only the first. */
@OptIn(ExperimentalSerializationApi::class)
internal class ShapeCheck(private val findings: FindingsBuilder) {
    /** Checks [field] against [shape]. */
    fun check(field: YamlField, shape: SerialDescriptor) {
        when {
            shape.isInline -> check(field, shape.getElementDescriptor(0))
            shape.kind == StructureKind.CLASS -> checkMap(field, shape)
            shape.kind == StructureKind.LIST -> checkList(field, shape)
            shape.kind == SerialKind.ENUM -> checkEnum(field, shape)
            else -> checkScalar(field, shape.kind)
        }
    }

    private fun checkMap(field: YamlField, shape: SerialDescriptor) {
        if (field.node !is YamlMap) return report(field, "A map of fields is expected here.")
        val known = shape.elementNames.toList()
        val entries = field.entries
        (entries.keys - known.toSet()).forEach { key ->
            report(entries.getValue(key), "Unknown key. Known here: ${known.joinToString()}.")
        }
        known.forEachIndexed { i, name -> checkElement(field.child(name), shape, i) }
    }

    private fun checkElement(field: YamlField, shape: SerialDescriptor, i: Int) {
        val element = shape.getElementDescriptor(i)
        if (field.isMissing) {
            val allowed = if (field.node == null) shape.isElementOptional(i) else element.isNullable
            if (!allowed) report(field, "This field is required.")
            return
        }
        check(field, element)
        shape.getElementAnnotations(i).filterIsInstance<InRange>().forEach { checkRange(field, it) }
    }

    private fun checkRange(field: YamlField, range: InRange) {
        val value = field.text?.toLongOrNull() ?: return
        if (value !in range.min..range.max) report(field, "$value is not between ${range.min} and ${range.max}.")
    }

    private fun checkList(field: YamlField, shape: SerialDescriptor) {
        if (field.node !is YamlList) return report(field, "A list is expected here.")
        field.items.forEach { check(it, shape.getElementDescriptor(0)) }
    }

    private fun checkEnum(field: YamlField, shape: SerialDescriptor) {
        val known = shape.elementNames.toList()
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
