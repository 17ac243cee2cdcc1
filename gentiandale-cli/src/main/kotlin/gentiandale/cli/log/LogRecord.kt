package gentiandale.cli.log

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Structured log line of one of the processes. */
internal class LogRecord private constructor(private val fields: JsonObject) {
    val timeMs: Long = (fields["time_ms"] as? JsonPrimitive)?.longOrNull ?: 0
    val vm: String = text("vm").orEmpty()
    val event: String = "${text("part")}/${text("event")}"
    val request: String? = text("request")

    /** Returns the field [name] as text, or null if it is absent or not a primitive. */
    fun text(name: String): String? = (fields[name] as? JsonPrimitive)?.content

    /** Formats the fields specific to the event as `name=value`, without those that all lines share. */
    fun detail(): String = fields.filterKeys { it !in SHARED_FIELDS }.map { (name, value) ->
        "$name=${(value as? JsonPrimitive)?.content ?: value}"
    }.joinToString(" ")

    companion object {
        private val SHARED_FIELDS = setOf("time_ms", "steady_ms", "vm", "incarnation", "part", "event", "request")

        /** Parses [line], which may have a prefix before the JSON object; null if it contains no valid object. */
        fun read(line: String): LogRecord? {
            val start = line.indexOf('{')
            if (start < 0) return null
            return try {
                (Json.parseToJsonElement(line.substring(start)) as? JsonObject)?.let(::LogRecord)
            } catch (_: SerializationException) {
                null
            }
        }
    }
}
