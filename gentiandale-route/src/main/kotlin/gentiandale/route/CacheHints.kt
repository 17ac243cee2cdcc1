package gentiandale.route

import gentiandale.core.ServerId

/**
 * Tracks which prefill servers probably have which prompt blocks in their prefix cache. Cache events arrive late and
 * with gaps, so an entry is a hint that expires, and all hints of a server are dropped when its events have a gap.
 */
internal class CacheHints {
    private val holders = HashMap<Long, HashMap<ServerId, Long>>()
    private val blocks = HashMap<ServerId, LinkedHashSet<Long>>()

    /** Records that [server] has the blocks [hashes] in its cache. */
    fun add(server: ServerId, hashes: List<Long>, nowMs: Long) {
        val serverBlocks = blocks.getOrPut(server) { LinkedHashSet() }
        for (hash in hashes) {
            serverBlocks.remove(hash)
            serverBlocks.add(hash)
            holders.getOrPut(hash) { HashMap() }[server] = nowMs + HINT_LIFETIME_MS
        }
        while (serverBlocks.size > MAX_BLOCKS_PER_SERVER) drop(server, serverBlocks.first())
    }

    /** Removes the hints that [server] has the blocks [hashes]. */
    fun remove(server: ServerId, hashes: List<Long>) {
        hashes.forEach { drop(server, it) }
    }

    /** Removes all hints of [server]. */
    fun forget(server: ServerId) {
        blocks[server]?.toList()?.forEach { drop(server, it) }
        blocks.remove(server)
    }

    /** Returns for each server the number of leading blocks of [prefix] that it probably has in its cache. */
    fun leadingBlocks(prefix: List<Long>, nowMs: Long): Map<ServerId, Int> {
        val first = prefix.firstOrNull()?.let { holders[it] } ?: return emptyMap()
        return first.keys.associateWith { server -> prefix.takeWhile { isFresh(it, server, nowMs) }.size }
    }

    private fun isFresh(hash: Long, server: ServerId, nowMs: Long): Boolean =
        (holders[hash]?.get(server) ?: Long.MIN_VALUE) > nowMs

    private fun drop(server: ServerId, hash: Long) {
        blocks[server]?.remove(hash)
        val servers = holders[hash] ?: return
        servers.remove(server)
        if (servers.isEmpty()) holders.remove(hash)
    }

    private companion object {
        const val HINT_LIFETIME_MS = 120_000L
        const val MAX_BLOCKS_PER_SERVER = 512
    }
}
