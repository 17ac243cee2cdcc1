package gentiandale.standin.engine

import gentiandale.core.Attempt
import gentiandale.core.RequestId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * KV cache that waits for its export.
 *
 * @param computedTokens prompt tokens that were prefilled for it, without those found in the prefix cache.
 * @param blocks blocks of engine memory that it occupies.
 */
internal data class KvEntry(
    val handle: String,
    val work: WorkId,
    val bytes: Long,
    val computedTokens: Int,
    val blocks: Int,
)

/** Stores the KV caches of a prefill engine. A cache that is not exported within [lifetimeMs] expires as wasted. */
internal class KvStore(
    private val lifetimeMs: Long,
    private val scope: CoroutineScope,
    private val onWaste: (KvEntry) -> Unit,
) {
    private val entries = LinkedHashMap<String, KvEntry>()

    /** Handles of the stored KV caches. */
    val handles: List<String> get() = synchronized(entries) { entries.keys.toList() }

    /** Attempts whose KV caches are stored. */
    val ids: List<WorkId> get() = synchronized(entries) { entries.values.map { it.work } }

    /** Number of memory blocks that the stored KV caches occupy. */
    val usedBlocks: Int get() = synchronized(entries) { entries.values.sumOf { it.blocks } }

    /** Stores [entry] until it is taken, dropped or expired. */
    fun put(entry: KvEntry) {
        synchronized(entries) { entries[entry.handle] = entry }
        scope.launch {
            delay(lifetimeMs)
            val expired = synchronized(entries) { entries.remove(entry.handle, entry) }
            if (expired) onWaste(entry)
        }
    }

    /** Removes and returns the KV cache [handle]; null if it is not stored, for example because it has expired. */
    fun take(handle: String): KvEntry? = synchronized(entries) { entries.remove(handle) }

    /** Drops the KV caches of all attempts of [request] up to [last] as wasted; returns whether there were any. */
    fun drop(request: RequestId, last: Attempt): Boolean {
        val dropped = synchronized(entries) {
            val matching = entries.values.filter { it.work.request == request && it.work.attempt.value <= last.value }
            matching.forEach { entries.remove(it.handle) }
            matching
        }
        dropped.forEach(onWaste)
        return dropped.isNotEmpty()
    }
}
