package gentiandale.route

/**
 * Aggregate capacity of the servers of a pool, computed at [atMs].
 *
 * @param fastestTokensPerMs speed of the fastest prefill server in tokens per millisecond.
 * @param tokensPerMs total speed of the prefill servers that accept work, in tokens per millisecond.
 * @param linkBytesPerMs rate of the fastest decode server link in bytes per millisecond; 0 if unknown.
 * @param places decode places of the servers that accept work.
 * @param used decode places in use on these servers.
 */
internal class PoolCapacity private constructor(
    val atMs: Long,
    val fastestTokensPerMs: Double,
    val tokensPerMs: Double,
    val linkBytesPerMs: Double,
    val places: Int,
    val used: Int,
) {
    companion object {
        private const val MS_PER_SECOND = 1_000.0
        private const val MIN_RATE = 1e-4

        /** Capacity of a pool without servers; it counts as outdated. */
        val NONE = PoolCapacity(Long.MIN_VALUE / 2, MIN_RATE, MIN_RATE, linkBytesPerMs = 0.0, places = 0, used = 0)

        /** Computes the capacity of [pool] at [nowMs]. */
        fun of(pool: ModelPool, nowMs: Long): PoolCapacity {
            val prefills = pool.prefills.filter { !it.facts.leaving && !it.cooldown.isActive(nowMs) }
            val decodes = pool.decodes.filter { !it.facts.leaving }
            return PoolCapacity(
                atMs = nowMs,
                fastestTokensPerMs = pool.prefills.maxOfOrNull { it.tokensPerMs } ?: MIN_RATE,
                tokensPerMs = prefills.sumOf { it.tokensPerMs }.coerceAtLeast(MIN_RATE),
                linkBytesPerMs = (decodes.maxOfOrNull { it.facts.linkBytesPerSecond } ?: 0.0) / MS_PER_SECOND,
                places = decodes.sumOf { it.facts.places },
                used = decodes.sumOf { it.used },
            )
        }
    }
}
