package gentiandale.cli.log

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** One structured log line. */
internal class LogRecord private constructor(private val fields: JsonObject) {
    val timeMs: Long = (fields["time_ms"] as? JsonPrimitive)?.longOrNull ?: 0
    val vm: String = text("vm").orEmpty()
    val event: String = "${text("part")}/${text("event")}"
    val request: String? = text("request")

    /** Returns the field [name], or null. */
    fun text(name: String): String? = (fields[name] as? JsonPrimitive)?.content

    /** Returns everything that is not in every line. */
    fun detail(): String = fields.filterKeys { it !in COMMON }.map { (name, value) ->
        "$name=${(value as? JsonPrimitive)?.content ?: value}"
    }.joinToString(" ")

    companion object {
        private val COMMON = setOf("time_ms", "steady_ms", "vm", "incarnation", "part", "event", "request")

        /** Reads [line], which may have something before the object; null if it holds no record. */
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
