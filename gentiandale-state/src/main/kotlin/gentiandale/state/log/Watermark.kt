package gentiandale.state.log

import java.nio.ByteBuffer

/**
 * Durable record of the last log index that may have been acknowledged. It is synced after the log and before the
 * acknowledgement, so a log that ends or is corrupt before this index is known to have lost acknowledged entries.
 * Writes alternate between two slots, so a torn write corrupts at most one of them.
 */
internal class Watermark private constructor(
    private val file: FolderFile,
    private var generation: Long,
    private var index: Long,
) : AutoCloseable {
    val lastIndex: Long get() = index

    fun advance(lastIndex: Long) {
        if (lastIndex > index) write(lastIndex)
    }

    /** Lowers the watermark to [lastIndex]. Must be called before later entries are removed from the log. */
    fun lower(lastIndex: Long) {
        if (lastIndex < index) write(lastIndex)
    }

    override fun close() {
        file.close()
    }

    private fun write(lastIndex: Long) {
        generation++
        file.write(generation % SLOTS * SLOT_STRIDE_BYTES, encode(generation, lastIndex))
        file.sync()
        index = lastIndex
    }

    companion object {
        const val NAME = "watermark"
        private const val SLOTS = 2L
        private const val SLOT_STRIDE_BYTES = 4_096L
        private const val SLOT_BYTES = 20

        fun create(folder: DataFolder) {
            folder.replace(NAME, encode(0, 0))
        }

        /** Opens the watermark in [folder], or returns null if both slots are corrupt. */
        fun open(folder: DataFolder): Watermark? {
            val content = folder.read(NAME)
            val newest = (0 until SLOTS).mapNotNull { decode(content, it) }.maxByOrNull { it.generation } ?: return null
            return Watermark(folder.open(NAME), newest.generation, newest.index)
        }

        private fun encode(generation: Long, index: Long): ByteArray {
            val numbers = ByteBuffer.allocate(2 * Long.SIZE_BYTES).putLong(generation).putLong(index).array()
            return numbers + intBytes(crc32c(numbers))
        }

        private fun decode(content: ByteArray, slot: Long): Slot? {
            val from = (slot * SLOT_STRIDE_BYTES).toInt()
            if (content.size < from + SLOT_BYTES) return null
            val numbers = content.copyOfRange(from, from + 2 * Long.SIZE_BYTES)
            val buffer = ByteBuffer.wrap(content, from, SLOT_BYTES)
            val found = Slot(buffer.getLong(), buffer.getLong())
            return found.takeIf { buffer.getInt() == crc32c(numbers) }
        }
    }

    private data class Slot(val generation: Long, val index: Long)
}
