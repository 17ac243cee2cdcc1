package gentiandale.state.log

import gentiandale.state.raft.LogEntry
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import kotlinx.serialization.SerializationException
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer

private const val FRAME_BYTES = 2 * Int.SIZE_BYTES
private const val PREFIX = "log-"
private const val NAME_DIGITS = 20

/** File of the log: a header with the index of the first entry, then the entries. Each part has its own checksum. */
internal class Segment(
    val name: String,
    val firstIndex: Long,
    private val file: FolderFile,
    private val offsets: MutableList<Long>,
    private var size: Long,
) : AutoCloseable {
    val lastIndex: Long get() = firstIndex + offsets.size - 1
    val bytes: Long get() = size

    /** Appends [entries] durably. */
    fun append(entries: List<LogEntry>) {
        val buffer = ByteArrayOutputStream()
        entries.forEach {
            offsets += size + buffer.size()
            buffer.write(encodeFrame(it))
        }
        file.write(size, buffer.toByteArray())
        file.sync()
        size += buffer.size()
    }

    /** Removes the entries from [index] on durably. */
    fun truncateFrom(index: Long) {
        val kept = (index - firstIndex).toInt()
        size = offsets[kept]
        offsets.subList(kept, offsets.size).clear()
        file.truncate(size)
        file.sync()
    }

    /** Makes durable what was read from the file, as it may have been written but not synced before a crash. */
    fun sync() {
        file.sync()
    }

    override fun close() {
        file.close()
    }

    companion object {
        fun isSegment(name: String): Boolean = name.startsWith(PREFIX) && !name.endsWith(TEMPORARY_SUFFIX)

        fun nameOf(firstIndex: Long): String = PREFIX + firstIndex.toString().padStart(NAME_DIGITS, '0')

        fun indexOf(name: String): Long? = name.removePrefix(PREFIX).toLongOrNull()

        fun create(folder: DataFolder, firstIndex: Long): Segment {
            val name = nameOf(firstIndex)
            val header = addChecksum(encodeWire(firstIndex))
            folder.replace(name, header)
            return Segment(name, firstIndex, folder.open(name), mutableListOf(), header.size.toLong())
        }

        /** Returns the size of the header of a segment that begins at [firstIndex]. */
        fun headerSize(firstIndex: Long): Int = addChecksum(encodeWire(firstIndex)).size

        private fun encodeFrame(entry: LogEntry): ByteArray {
            val content = encodeWire(entry)
            val length = intBytes(content.size)
            return length + intBytes(crc32c(length, content)) + content
        }
    }
}

/**
 * Entries read from a segment file.
 *
 * @param offsets file offset of each entry.
 * @param end file offset after the last intact entry.
 * @param isIntact whether the file ends at [end], that is, has no torn or corrupt entry.
 */
internal class SegmentContent(
    val entries: List<LogEntry>,
    val offsets: List<Long>,
    val end: Long,
    val isIntact: Boolean,
)

/** Reads the entries in [content] up to the first corrupt one. */
internal fun readSegment(content: ByteArray, firstIndex: Long): SegmentContent {
    val entries = mutableListOf<LogEntry>()
    val offsets = mutableListOf<Long>()
    var at = Segment.headerSize(firstIndex)
    while (at < content.size) {
        val entry = readEntry(content, at, firstIndex + entries.size) ?: break
        entries += entry.entry
        offsets += at.toLong()
        at = entry.end
    }
    return SegmentContent(entries, offsets, at.toLong(), at == content.size)
}

private class ReadEntry(val entry: LogEntry, val end: Int)

private fun readEntry(content: ByteArray, at: Int, index: Long): ReadEntry? {
    if (content.size - at < FRAME_BYTES) return null
    val buffer = ByteBuffer.wrap(content, at, FRAME_BYTES)
    val length = buffer.getInt()
    val crc = buffer.getInt()
    val from = at + FRAME_BYTES
    if (length < 0 || length > content.size - from) return null
    val body = content.copyOfRange(from, from + length)
    if (crc != crc32c(intBytes(length), body)) return null
    return decodeEntry(body)?.takeIf { it.index == index }?.let { ReadEntry(it, from + length) }
}

private fun decodeEntry(body: ByteArray): LogEntry? = try {
    decodeWire<LogEntry>(body)
} catch (_: SerializationException) {
    null
}
