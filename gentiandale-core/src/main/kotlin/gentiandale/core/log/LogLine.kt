package gentiandale.core.log

/** Builds one JSON object, field by field. */
public class LogLine {
    private val text = StringBuilder("{")

    /** Adds [value] as [name]; null adds nothing. */
    public fun field(name: String, value: String?): LogLine {
        if (value == null) return this
        key(name).append('"')
        value.forEach(::escape)
        text.append('"')
        return this
    }

    /** Adds [value] as [name]; null adds nothing. */
    public fun field(name: String, value: Number?): LogLine {
        if (value != null) key(name).append(value)
        return this
    }

    /** Adds [value] as [name]. */
    public fun field(name: String, value: Boolean): LogLine {
        key(name).append(value)
        return this
    }

    /** Returns the object. */
    public fun build(): String = "$text}"

    private fun key(name: String): StringBuilder {
        if (text.length > 1) text.append(',')
        return text.append('"').append(name).append("\":")
    }

    private fun escape(char: Char) {
        when {
            char == '"' || char == '\\' -> text.append('\\').append(char)
            char < ' ' -> text.append("\\u").append(char.code.toString(HEX).padStart(ESCAPE_DIGITS, '0'))
            else -> text.append(char)
        }
    }

    private companion object {
        const val HEX = 16
        const val ESCAPE_DIGITS = 4
    }
}
