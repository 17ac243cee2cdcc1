package gentiandale.state.log

import java.io.IOException
import kotlin.random.Random

/** In-memory [DataFolder] that can fail at a chosen operation and lose unsynced data. */
class MemoryFolder : DataFolder {
    private class Content(var current: ByteArray = ByteArray(0), var durable: ByteArray = ByteArray(0))

    private val names = sortedMapOf<String, Content>()
    private val durableNames = sortedMapOf<String, Content>()

    /** Number of operations performed. */
    var operations = 0
        private set

    /** Number of the first operation that fails, counted from 1. All later operations fail too. */
    var failAtOperation = Int.MAX_VALUE

    /** Whether to inject the fault that a sync reports success but does nothing. */
    var skipSync = false

    override fun list(): List<String> = names.keys.toList()

    override fun read(name: String): ByteArray = content(name).current.copyOf()

    override fun open(name: String): FolderFile {
        countOperation()
        return MemoryFile(names.getOrPut(name) { Content() })
    }

    override fun rename(from: String, to: String) {
        countOperation()
        names[to] = names.remove(from) ?: throw IOException("No file $from.")
    }

    override fun delete(name: String) {
        countOperation()
        names.remove(name) ?: throw IOException("No file $name.")
    }

    override fun sync() {
        countOperation()
        if (skipSync) return
        durableNames.clear()
        durableNames.putAll(names)
    }

    override fun close() = Unit

    /** Simulates a crash, which loses unsynced data except for a random part of the last writes and names. */
    fun crash(random: Random) {
        failAtOperation = Int.MAX_VALUE
        if (random.nextBoolean()) {
            names.clear()
            names.putAll(durableNames)
        }
        names.values.forEach { it.current = tornContent(it, random) }
        names.values.forEach { it.durable = it.current }
        durableNames.clear()
        durableNames.putAll(names)
    }

    /** Corrupts the file [name] by applying [corrupt] to its content. */
    fun corrupt(name: String, corrupt: (ByteArray) -> ByteArray) {
        val content = content(name)
        content.current = corrupt(content.current.copyOf())
        content.durable = content.current
    }

    /** Removes all files, as when the disk is lost. */
    fun wipe() {
        names.clear()
        durableNames.clear()
    }

    /** Returns an independent copy. */
    fun copy(): MemoryFolder = MemoryFolder().also { other ->
        names.forEach { (name, content) -> other.names[name] = Content(content.current, content.durable) }
        other.durableNames.putAll(other.names)
    }

    private fun content(name: String) = names[name] ?: throw IOException("No file $name.")

    private fun countOperation() {
        operations++
        if (operations >= failAtOperation) throw IOException("Injected failure at operation $operations.")
    }

    /** Returns a torn write: the durable bytes plus a random part of appended bytes, or either version if rewritten. */
    private fun tornContent(content: Content, random: Random): ByteArray {
        val appended = content.current.size > content.durable.size
        if (!appended || !content.current.startsWith(content.durable)) {
            return if (random.nextBoolean()) content.current else content.durable
        }
        val torn = content.current.copyOf(random.nextInt(content.durable.size, content.current.size + 1))
        if (torn.size > content.durable.size && random.nextBoolean()) torn[torn.size - 1] = 0
        return torn
    }

    private fun ByteArray.startsWith(other: ByteArray) = copyOf(other.size).contentEquals(other)

    private inner class MemoryFile(private val content: Content) : FolderFile {
        override fun write(position: Long, bytes: ByteArray) {
            val end = position.toInt() + bytes.size
            val written = content.current.copyOf(maxOf(content.current.size, end))
            bytes.copyInto(written, position.toInt())
            content.current = written
            countOperation()
        }

        override fun truncate(size: Long) {
            countOperation()
            content.current = content.current.copyOf(minOf(size.toInt(), content.current.size))
        }

        override fun sync() {
            countOperation()
            if (!skipSync) content.durable = content.current
        }

        override fun close() = Unit
    }
}
