package gentiandale.daemon.engine

import java.io.ByteArrayOutputStream

/** Incremental parser of server-sent events that returns the content of their `data` lines. */
internal class EventStreamParser {
    private val pending = ByteArrayOutputStream()

    /** Parses the next [bytes] of the stream and returns the content of the `data` lines that they complete. */
    fun feed(bytes: ByteArray): List<String> {
        val lines = mutableListOf<String>()
        for (byte in bytes) {
            if (byte == NEWLINE) {
                takeLine()?.let(lines::add)
            } else {
                pending.write(byte.toInt())
            }
        }
        return lines
    }

    private fun takeLine(): String? {
        val line = pending.toString(Charsets.UTF_8).trimEnd('\r')
        pending.reset()
        return if (line.startsWith(DATA_PREFIX)) line.removePrefix(DATA_PREFIX).trim() else null
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val DATA_PREFIX = "data:"
    }
}
