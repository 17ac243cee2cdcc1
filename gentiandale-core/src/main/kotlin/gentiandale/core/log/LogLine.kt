package gentiandale.core.log

/** Builds a log line: one JSON object on one line. */
public class LogLine {
    private val text = StringBuilder("{")

    /** Adds the field [name] with [value], or nothing if [value] is null. */
    public fun field(name: String, value: String?): LogLine {
        if (value == null) return this
        key(name).append('"')
        value.forEach(::escape)
        text.append('"')
        return this
    }

    /** Adds the field [name] with [value], or nothing if [value] is null. */
    public fun field(name: String, value: Number?): LogLine {
        if (value != null) key(name).append(value)
        return this
    }

    /** Adds the field [name] with [value]. */
    public fun field(name: String, value: Boolean): LogLine {
        key(name).append(value)
        return this
    }

    /** Returns the finished JSON object. */
    public fun build(): String = "$text}"

    private fun key(name: String): StringBuilder {
        if (text.length > 1) text.append(',')
        return text.append('"').append(name).append("\":")
    }

    private fun escape(char: Char) {
        when {
            char == '"' || char == '\\' -> text.append('\\').append(char)
            char < ' ' -> text.append("\\u").append(char.code.toString(HEX_RADIX).padStart(ESCAPE_DIGITS, '0'))
            else -> text.append(char)
        }
    }

    private companion object {
        const val HEX_RADIX = 16
        const val ESCAPE_DIGITS = 4
    }
}
