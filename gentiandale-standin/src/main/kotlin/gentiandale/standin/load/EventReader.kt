package gentiandale.standin.load

import java.io.ByteArrayOutputStream

/** One server-sent event. */
internal data class ServerEvent(val name: String, val data: String)

/** Incremental parser for server-sent events. */
internal class EventReader {
    private val line = ByteArrayOutputStream()
    private var name = ""
    private var data = ""

    /** Parses the next [bytes] and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<ServerEvent> {
        val events = mutableListOf<ServerEvent>()
        for (byte in bytes) {
            if (byte == NEWLINE) takeLine()?.let(events::add) else line.write(byte.toInt())
        }
        return events
    }

    private fun takeLine(): ServerEvent? {
        val text = line.toString(Charsets.UTF_8).trimEnd('\r')
        line.reset()
        when {
            text.startsWith("event:") -> name = text.removePrefix("event:").trim()
            text.startsWith("data:") -> data = text.removePrefix("data:").trim()
            text.isEmpty() && data.isNotEmpty() -> {
                val event = ServerEvent(name, data)
                name = ""
                data = ""
                return event
            }
        }
        return null
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
