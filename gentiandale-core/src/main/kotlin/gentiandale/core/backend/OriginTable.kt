package gentiandale.core.backend

/**
 * Origins of streams, each kept for a limited time. An entry takes 14 bytes in a hash table with open addressing, so
 * that a control VM can hold those of a large fleet. Not thread-safe.
 *
 * @param maxEntries entries beyond this number are not recorded.
 */
public class OriginTable(private val maxEntries: Int) {
    private var ids = LongArray(INITIAL_SLOTS)
    private var expiries = IntArray(INITIAL_SLOTS)
    private var values = ShortArray(INITIAL_SLOTS)
    private val origins = ArrayList<StreamOrigin>()
    private val indexes = HashMap<StreamOrigin, Short>()

    /** Number of entries, with those that have expired since the table was last rebuilt. */
    public var size: Int = 0
        private set

    /** Number of streams that could not be recorded. */
    public var dropped: Long = 0
        private set

    /** Records at [nowMs] that [stream] began at [origin], for [keepMs] milliseconds; returns whether it has room. */
    public fun record(stream: StreamId, origin: StreamOrigin, nowMs: Long, keepMs: Long): Boolean {
        val index = indexOf(origin)
        if (index == null || !hasRoom(nowMs)) {
            dropped++
            return false
        }
        val id = keyOf(stream)
        val slot = slotOf(id)
        val now = secondsOf(nowMs)
        val isLive = ids[slot] == id && expiries[slot] > now
        if (ids[slot] == FREE) size++
        ids[slot] = id
        values[slot] = if (isLive && values[slot] != index) AMBIGUOUS else index
        expiries[slot] = maxOf(if (isLive) expiries[slot] else 0, secondsOf(nowMs + keepMs) + 1)
        return true
    }

    /** Returns the origin of [stream] at [nowMs], or null if none is recorded; [source] is the VM of this table. */
    public fun find(stream: StreamId, nowMs: Long, source: String): OriginLookup? {
        val id = keyOf(stream)
        val slot = slotOf(id)
        if (ids[slot] != id || expiries[slot] <= secondsOf(nowMs)) return null
        val index = values[slot]
        return if (index == AMBIGUOUS) OriginLookup.Ambiguous else OriginLookup.Found(origins[index.toInt()], source)
    }

    private fun indexOf(origin: StreamOrigin): Short? {
        indexes[origin]?.let { return it }
        if (origins.size >= MAX_ORIGINS) return null
        val index = origins.size.toShort()
        origins += origin
        indexes[origin] = index
        return index
    }

    private fun hasRoom(nowMs: Long): Boolean {
        if (size < ids.size * MAX_LOAD) return true
        rebuild(secondsOf(nowMs))
        return size < ids.size * MAX_LOAD && size < maxEntries
    }

    /** Drops expired entries, and doubles the table if it stays more than half as full as allowed. */
    private fun rebuild(now: Int) {
        val live = expiries.indices.filter { ids[it] != FREE && expiries[it] > now }
        val slots = if (live.size > ids.size * MAX_LOAD / 2 && live.size < maxEntries) ids.size * 2 else ids.size
        val (oldIds, oldExpiries, oldValues) = Triple(ids, expiries, values)
        ids = LongArray(slots)
        expiries = IntArray(slots)
        values = ShortArray(slots)
        live.forEach { old ->
            val slot = slotOf(oldIds[old])
            ids[slot] = oldIds[old]
            expiries[slot] = oldExpiries[old]
            values[slot] = oldValues[old]
        }
        size = live.size
    }

    /** Returns the slot that holds [id], or the free one where it belongs. */
    private fun slotOf(id: Long): Int {
        var slot = (id xor (id ushr HASH_SHIFT)).toInt() and (ids.size - 1)
        while (ids[slot] != FREE && ids[slot] != id) slot = (slot + 1) and (ids.size - 1)
        return slot
    }

    private fun keyOf(stream: StreamId) = if (stream.value == FREE) FREE_REPLACEMENT else stream.value

    private fun secondsOf(ms: Long) = (ms / MS_PER_S).toInt()

    private companion object {
        const val FREE = 0L
        const val FREE_REPLACEMENT = 1L
        const val AMBIGUOUS: Short = -1
        const val INITIAL_SLOTS = 256
        const val MAX_LOAD = 0.6
        const val HASH_SHIFT = 32
        const val MS_PER_S = 1_000L

        /** Bounds the services and versions that servers can name. */
        const val MAX_ORIGINS = 10_000
    }
}
