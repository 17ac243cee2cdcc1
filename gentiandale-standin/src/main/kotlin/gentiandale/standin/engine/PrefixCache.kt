package gentiandale.standin.engine

/** Hashes of the blocks that an update added to and evicted from a prefix cache. */
internal data class CacheChange(val added: List<Long>, val removed: List<Long>)

/** LRU prefix cache of at most [capacity] blocks, which are identified by their hashes. */
internal class PrefixCache(private val capacity: Int) {
    private val blocks = LinkedHashSet<Long>()

    /** Returns the length of the longest prefix of [hashes] that is cached. */
    fun match(hashes: List<Long>): Int = synchronized(blocks) { hashes.takeWhile { it in blocks }.size }

    /** Inserts [hashes] as the most recently used blocks, evicts the excess, and returns the resulting change. */
    fun store(hashes: List<Long>): CacheChange = synchronized(blocks) {
        val added = hashes.filter { it !in blocks }
        hashes.forEach {
            blocks.remove(it)
            blocks.add(it)
        }
        val removed = blocks.take((blocks.size - capacity).coerceAtLeast(0))
        blocks.removeAll(removed.toSet())
        CacheChange(added - removed.toSet(), removed - added.toSet())
    }
}
