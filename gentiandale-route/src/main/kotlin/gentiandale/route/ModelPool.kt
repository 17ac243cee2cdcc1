package gentiandale.route

import gentiandale.core.DataCentreId
import gentiandale.core.ModelId
import gentiandale.core.RankId
import gentiandale.core.RankRecord
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad
import kotlin.math.ceil
import kotlin.math.sqrt

/** Servers of one model with their ledgers, and the queues of requests for the model. */
internal class ModelPool(val model: ModelId, private val headroomMs: Double) {
    private val prefillById = LinkedHashMap<ServerId, PrefillLedger>()
    private val decodeById = LinkedHashMap<ServerId, DecodeLedger>()

    /** Ledgers of the prefill servers. */
    var prefills: List<PrefillLedger> = emptyList()
        private set

    /** Ledgers of the decode servers. */
    var decodes: List<DecodeLedger> = emptyList()
        private set

    /** Number of data centres in which the pool has servers. */
    var dataCentres: Int = 0
        private set

    private var capacity = PoolCapacity.NONE

    /** Queues of the ranks, the most urgent first. */
    var queues: List<RankQueue> = emptyList()
        private set

    /** Hints about the prompt blocks that prefill servers have cached. */
    val cache = CacheHints()

    /** Mean time for which a request holds its place, in milliseconds. */
    val holdMs = MovingMean(DEFAULT_HOLD_MS, HOLD_WEIGHT)

    /** Size of the KV cache of one token in bytes. */
    var kvBytesPerToken: Long = DEFAULT_KV_BYTES_PER_TOKEN

    /** Number of queued requests. */
    val waiting: Int get() = queues.sumOf { it.size }

    /** Returns the ledger of the prefill server [server], or null if the pool has none. */
    fun prefill(server: ServerId): PrefillLedger? = prefillById[server]

    /** Returns the ledger of the decode server [server], or null if the pool has none. */
    fun decode(server: ServerId): DecodeLedger? = decodeById[server]

    /** Returns whether at least one server of each kind accepts new work. */
    fun isServing(): Boolean = prefills.any { !it.facts.leaving } && decodes.any { !it.facts.leaving }

    /** Returns the capacity of the pool, which is at most [CAPACITY_AGE_MS] old. */
    fun capacity(nowMs: Long): PoolCapacity {
        if (nowMs - capacity.atMs >= CAPACITY_AGE_MS) capacity = PoolCapacity.of(this, nowMs)
        return capacity
    }

    /**
     * Returns the number of places that requests of [queue] must leave free for more urgent ranks: their expected
     * arrivals within the headroom time, plus a margin for bursts, but at most a tenth of the places.
     */
    fun headroom(queue: RankQueue, nowMs: Long): Int {
        var arriving = 0.0
        for (other in queues) {
            if (other.rank.order < queue.rank.order) arriving += other.arrivalsPerMs(nowMs) * headroomMs
        }
        val limit = capacity(nowMs).places / MIN_PLACES_PER_HEADROOM
        return ceil(arriving + BURST_DEVIATIONS * sqrt(arriving)).toInt().coerceAtMost(limit)
    }

    /** Returns the queue of [rank]. */
    fun queue(rank: RankId): RankQueue = queues.first { it.rank.rank == rank }

    /** Sets the queues to those of [ranks], in this order. Returns the queued requests of removed ranks. */
    fun setRanks(ranks: List<RankRecord>): List<TrackedRequest> {
        val old = queues.associateBy { it.rank.rank }
        queues = ranks.map { rank -> old[rank.rank]?.also { it.rank = rank } ?: RankQueue(rank) }
        val kept = ranks.map { it.rank }.toSet()
        return old.filterKeys { it !in kept }.values.flatMap { it.requests.toList() }
    }

    /** Updates the ledger of a server with its facts and load. Returns whether the ledger is new and empty. */
    fun update(facts: ServerFacts, load: ServerLoad, nowMs: Long): Boolean {
        val before = prefillById[facts.server]?.facts ?: decodeById[facts.server]?.facts
        val isNew = before == null || isReplaced(before, facts)
        if (isNew) remove(facts.server)
        if (facts.kind == ServerKind.PREFILL) {
            val ledger = prefillById.getOrPut(facts.server) { PrefillLedger(facts) }
            ledger.facts = facts
            ledger.reconcile(load, nowMs)
        } else {
            val ledger = decodeById.getOrPut(facts.server) { DecodeLedger(facts) }
            ledger.facts = facts
            ledger.reconcile(load, nowMs)
        }
        if (isNew) rebuildLists()
        return isNew
    }

    /** Removes [server] with its ledger and its cache hints. */
    fun remove(server: ServerId) {
        prefillById.remove(server)
        decodeById.remove(server)
        cache.forget(server)
        rebuildLists()
    }

    private fun isReplaced(before: ServerFacts, now: ServerFacts) =
        before.incarnation != now.incarnation || before.kind != now.kind

    private fun rebuildLists() {
        prefills = prefillById.values.toList()
        decodes = decodeById.values.toList()
        val numbers = LinkedHashMap<DataCentreId, Int>()
        prefills.forEach { it.dataCentre = numbers.getOrPut(it.facts.dataCentre) { numbers.size } }
        decodes.forEach { it.dataCentre = numbers.getOrPut(it.facts.dataCentre) { numbers.size } }
        dataCentres = numbers.size
        capacity = PoolCapacity.NONE
    }

    private companion object {
        const val BURST_DEVIATIONS = 2.0
        const val MIN_PLACES_PER_HEADROOM = 10
        const val CAPACITY_AGE_MS = 50L
        const val DEFAULT_HOLD_MS = 4_000.0
        const val HOLD_WEIGHT = 0.02
        const val DEFAULT_KV_BYTES_PER_TOKEN = 40_000L
    }
}
