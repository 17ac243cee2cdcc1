package gentiandale.core.backend

/**
 * Crashes of servers and the traits of requests that may have caused them. A trait that crashes each server which
 * begins to answer it is a suspect of every such crash, while the other traits of those requests are cleared as soon as
 * a server answers a request with one of them.
 *
 * Records are merged by union, so that the result does not depend on their order, number and sources. Not thread-safe.
 */
public class CrashTable {
    private class Crash(var crashedMs: Long) {
        val suspects = LinkedHashSet<List<RequestTrait>>()
        val cleared = HashSet<RequestTrait>()
        val trialsMs = HashMap<RequestTrait, Long>()

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

    /** Records at [nowMs] that a request with [traits] was at a server when it crashed; returns what is new. */
    public fun onCrash(id: CrashId, traits: List<RequestTrait>, nowMs: Long): CrashRecord? =
        merge(CrashRecord(id, ageMs = 0, suspects = setOf(traits)), nowMs)

    /** Records at [nowMs] that a server has answered a request with [traits]; returns what is new. */
    public fun onAnswered(traits: List<RequestTrait>, nowMs: Long): List<CrashRecord> =
        crashes.mapNotNull { (id, crash) ->
            val cleared = traits.filter(crash::suspects).toSet()
            crash.cleared += cleared
            newsOf(id, crash, nowMs, cleared = cleared).takeIf { cleared.isNotEmpty() }
        }

    /** Records that a trial of [trait] starts at [nowMs], and returns what is new. */
    public fun onTrial(trait: RequestTrait, nowMs: Long): List<CrashRecord> = crashes
        .filterValues { it.suspects(trait) }
        .map { (id, crash) ->
            crash.trialsMs[trait] = nowMs
            newsOf(id, crash, nowMs, trialAgesMs = mapOf(trait to 0))
        }

    /** Merges [record], received at [nowMs]; returns what is new in it, or null. */
    public fun merge(record: CrashRecord, nowMs: Long): CrashRecord? {
        if (record.ageMs >= RETENTION_MS) return null
        val crashedMs = nowMs - record.ageMs.coerceAtLeast(0)
        val crash = crashes.getOrPut(record.id) { Crash(crashedMs) }
        // Of several reports the one that was delayed least is right.
        crash.crashedMs = minOf(crash.crashedMs, crashedMs)
        val suspects = record.suspects
            .filter { it.isNotEmpty() && it !in crash.suspects && crash.suspects.size < MAX_SUSPECTS }.toSet()
        val cleared = record.cleared - crash.cleared
        crash.suspects += suspects
        crash.cleared += cleared
        val trials = mergeTrials(crash, record, nowMs)
        if (crash.suspects.isEmpty()) crashes -= record.id
        limitSize()
        val isNews = suspects.isNotEmpty() || cleared.isNotEmpty() || trials.isNotEmpty()
        return if (isNews) crashes[record.id]?.let { newsOf(record.id, it, nowMs, suspects, cleared, trials) } else null
    }

    /** Merges the trials of [record] into [crash], and returns the ages of those that were not known. */
    private fun mergeTrials(crash: Crash, record: CrashRecord, nowMs: Long): Map<RequestTrait, Long> {
        val newer = record.trialAgesMs.filter { (trait, ageMs) ->
            crash.suspects(trait) && nowMs - ageMs > (crash.trialsMs[trait] ?: Long.MIN_VALUE)
        }
        // The age grows by the time of the transfer, so that only a clearly later trial is another one.
        val news = newer.filter { (trait, ageMs) -> nowMs - ageMs - (crash.trialsMs[trait] ?: 0) > SAME_TRIAL_MS }
        crash.trialsMs += newer.mapValues { (_, ageMs) -> nowMs - ageMs }
        return news
    }

    /**
     * Decides at [nowMs] whether a request with [traits] may be sent. It is refused for a trait that is suspected of
     * [MIN_CRASHES] crashes, unless all of these have another explanation in common that the request does not hold;
     * such a request tells the two apart. So a request that was sent twice does not exclude others that share a part.
     * A trait that is refused gets a trial after some time, as a sound one may have met two crashes by chance.
     */
    public fun verdict(traits: List<RequestTrait>, nowMs: Long): QuarantineVerdict {
        expire(nowMs)
        if (isEmpty) return QuarantineVerdict.Admit
        val verdicts = traits.mapNotNull { verdict(it, traits, nowMs) }
        return verdicts.find { it is QuarantineVerdict.Refuse } ?: verdicts.firstOrNull() ?: QuarantineVerdict.Admit
    }

    /** Returns the verdict on a request with [traits] because of [trait], or null if that is no reason to refuse it. */
    private fun verdict(trait: RequestTrait, traits: List<RequestTrait>, nowMs: Long): QuarantineVerdict? {
        val suspected = crashes.values.filter { it.suspects(trait) }
        val count = countMoments(suspected)
        if (count < MIN_CRASHES) return null
        val explanations = suspected.map { it.companionsOf(trait) }.reduce { all, next -> all intersect next }
        if (!traits.containsAll(explanations)) return null
        val forgottenMs = suspected.minOf { it.crashedMs } + RETENTION_MS
        val lastMs = suspected.maxOf { maxOf(it.crashedMs, it.trialsMs[trait] ?: it.crashedMs) }
        val trialMs = TRIAL_PAUSES_MS.getOrNull(count - MIN_CRASHES)?.let { lastMs + it }
        return when {
            trialMs == null -> QuarantineVerdict.Refuse(trait, count, forgottenMs - nowMs)
            nowMs >= trialMs -> QuarantineVerdict.Trial(trait)
            else -> QuarantineVerdict.Refuse(trait, count, minOf(trialMs, forgottenMs) - nowMs)
        }
    }

    /** Counts [crashes] that happened at the same moment once, as they have a cause in common that is no request. */
    private fun countMoments(crashes: List<Crash>): Int {
        val times = crashes.map { it.crashedMs }.sorted()
        return times.zipWithNext().count { (before, after) -> after - before > SAME_MOMENT_MS } + minOf(1, times.size)
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
        newsOf(id, crash, nowMs, crash.suspects, crash.cleared, crash.trialsMs.mapValues { nowMs - it.value })

    /** Returns a record of a part of what is known about [crash]; merging it has the same effect as the whole. */
    private fun newsOf(
        id: CrashId,
        crash: Crash,
        nowMs: Long,
        suspects: Set<List<RequestTrait>> = emptySet(),
        cleared: Set<RequestTrait> = emptySet(),
        trialAgesMs: Map<RequestTrait, Long> = emptyMap(),
    ) = CrashRecord(id, nowMs - crash.crashedMs, suspects.toSet(), cleared.toSet(), trialAgesMs)

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

        /**
         * Time in milliseconds from the last crash or trial of a trait to its next trial, after two crashes and after
         * three. After more, only the time of [RETENTION_MS] ends the quarantine, since each trial may cost a server.
         */
        private val TRIAL_PAUSES_MS = listOf(1_000L, 30_000L)

        /** Longer than it takes to learn of a crash, and shorter than a server needs to begin a request again. */
        private const val SAME_MOMENT_MS = 20L

        /** Longer than a message takes, and shorter than the time between two trials. */
        private const val SAME_TRIAL_MS = 500L

        private const val MAX_CRASHES = 64
        private const val MAX_SUSPECTS = 32

        /** Traits in all records together; callers choose the number of parts of a prompt. */
        private const val MAX_TRAITS = 8_192
        private const val DIGEST_FACTOR = 31L
    }
}
