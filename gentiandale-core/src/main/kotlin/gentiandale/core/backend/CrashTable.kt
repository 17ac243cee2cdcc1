package gentiandale.core.backend

/**
 * Crashes of servers and the traits of requests that may have caused them. A trait that crashes each server which
 * begins to answer it is a suspect of every such crash, while the other traits of those requests are cleared as soon as
 * a server answers a request with one of them.
 *
 * Records are merged by union, so that the result does not depend on their order, number and sources. Not thread-safe.
 */
public class CrashTable {
    private class Crash(val crashedMs: Long) {
        val suspects = LinkedHashSet<List<RequestTrait>>()
        val cleared = HashSet<RequestTrait>()

        fun suspects(trait: RequestTrait) = trait !in cleared && suspects.any { trait in it }

        /** Returns the traits that explain this crash whenever [trait] does: those of the same suspects. */
        fun companionsOf(trait: RequestTrait): Set<RequestTrait> =
            suspects.filter { trait in it }.flatMapTo(HashSet()) { it }.apply { removeAll(cleared) }

        fun size() = suspects.sumOf { it.size }
    }

    private val crashes = LinkedHashMap<CrashId, Crash>()

    /** Whether no crash is known. */
    public val isEmpty: Boolean get() = crashes.isEmpty()

    /** Number of known crashes. */
    public val size: Int get() = crashes.size

    /** Records at [nowMs] that a request with [traits] was at a server when it crashed; returns the changed record. */
    public fun onCrash(id: CrashId, traits: List<RequestTrait>, nowMs: Long): CrashRecord? =
        merge(CrashRecord(id, ageMs = 0, suspects = setOf(traits)), nowMs)

    /** Records at [nowMs] that a server has answered a request with [traits]; returns the records that it changes. */
    public fun onAnswered(traits: List<RequestTrait>, nowMs: Long): List<CrashRecord> =
        crashes.mapNotNull { (id, crash) ->
            val cleared = traits.filter(crash::suspects)
            if (crash.cleared.addAll(cleared)) recordOf(id, crash, nowMs) else null
        }

    /** Merges [record], received at [nowMs]; returns the merged record if that changes anything. */
    public fun merge(record: CrashRecord, nowMs: Long): CrashRecord? {
        if (record.ageMs >= RETENTION_MS) return null
        val crash = crashes.getOrPut(record.id) { Crash(nowMs - record.ageMs.coerceAtLeast(0)) }
        val suspects = record.suspects.filter { it.isNotEmpty() && crash.suspects.size < MAX_SUSPECTS }
        val isChanged = crash.suspects.addAll(suspects) or crash.cleared.addAll(record.cleared)
        if (crash.suspects.isEmpty()) crashes -= record.id
        limitSize()
        return if (isChanged) crashes[record.id]?.let { recordOf(record.id, it, nowMs) } else null
    }

    /**
     * Decides at [nowMs] whether a request with [traits] may be sent. It is refused for a trait that is suspected of
     * [MIN_CRASHES] crashes, unless all of these have another explanation in common that the request does not hold;
     * such a request tells the two apart. So a request that was sent twice does not exclude others that share a part.
     */
    public fun verdict(traits: List<RequestTrait>, nowMs: Long): QuarantineVerdict {
        expire(nowMs)
        if (isEmpty) return QuarantineVerdict.Admit
        for (trait in traits) {
            val suspected = crashes.values.filter { it.suspects(trait) }
            if (suspected.size < MIN_CRASHES) continue
            val explanations = suspected.map { it.companionsOf(trait) }.reduce { all, next -> all intersect next }
            if (!traits.containsAll(explanations)) continue
            val leftMs = suspected.minOf { it.crashedMs } + RETENTION_MS - nowMs
            return QuarantineVerdict.Refuse(trait, suspected.size, leftMs)
        }
        return QuarantineVerdict.Admit
    }

    /** Returns all records, with their ages at [nowMs]. */
    public fun records(nowMs: Long): List<CrashRecord> {
        expire(nowMs)
        return crashes.map { (id, crash) -> recordOf(id, crash, nowMs) }
    }

    /**
     * Returns a hash that is equal at [nowMs] for tables with the same crashes, suspects and cleared traits; 0 if the
     * table is empty.
     */
    public fun digest(nowMs: Long): Long {
        expire(nowMs)
        return crashes.entries.sumOf { (id, crash) ->
            (id.hashCode() * DIGEST_FACTOR + crash.suspects.hashCode()) * DIGEST_FACTOR + crash.cleared.hashCode()
        }
    }

    private fun recordOf(id: CrashId, crash: Crash, nowMs: Long) =
        CrashRecord(id, nowMs - crash.crashedMs, crash.suspects.toSet(), crash.cleared.toSet())

    private fun expire(nowMs: Long) {
        if (crashes.isNotEmpty()) crashes.values.removeIf { nowMs - it.crashedMs >= RETENTION_MS }
    }

    private fun limitSize() {
        while (crashes.size > MAX_CRASHES || crashes.size > 1 && crashes.values.sumOf { it.size() } > MAX_TRAITS) {
            crashes.remove(crashes.keys.first())
        }
    }

    /** Limits of the table. */
    public companion object {
        /** Crashes after which a trait is quarantined. One alone may have any cause. */
        public const val MIN_CRASHES: Int = 2

        /** Time in milliseconds for which a crash is remembered, and so a trait quarantined. */
        public const val RETENTION_MS: Long = 30 * 60_000L

        private const val MAX_CRASHES = 64
        private const val MAX_SUSPECTS = 32

        /** Traits in all records together; callers choose the number of parts of a prompt. */
        private const val MAX_TRAITS = 8_192
        private const val DIGEST_FACTOR = 31L
    }
}
