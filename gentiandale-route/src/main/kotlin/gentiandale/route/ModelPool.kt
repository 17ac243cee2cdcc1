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

/** Servers of one model, the ledgers over them, and the queues of requests for the model. */
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

    /** Queues, the most urgent rank first. */
    var queues: List<RankQueue> = emptyList()
        private set

    /** Hints of which prompts the prefill servers have cached. */
    val cache = CacheHints()

    /** Time for which requests hold a place, in milliseconds. */
    val holdMs = MovingMean(DEFAULT_HOLD_MS, HOLD_WEIGHT)

    /** Bytes of KV cache of one token. */
    var kvBytesPerToken: Long = DEFAULT_KV_BYTES_PER_TOKEN

    /** Requests that wait. */
    val waiting: Int get() = queues.sumOf { it.size }

    /** Returns the ledger of a prefill server. */
    fun prefill(server: ServerId): PrefillLedger? = prefillById[server]

    /** Returns the ledger of a decode server. */
    fun decode(server: ServerId): DecodeLedger? = decodeById[server]

    /** Returns whether some server of each kind takes new work. */
    fun isServing(): Boolean = prefills.any { !it.facts.leaving } && decodes.any { !it.facts.leaving }

    /** Returns what the pool can do, as of a moment ago. */
    fun capacity(nowMs: Long): PoolCapacity {
        if (nowMs - capacity.atMs >= CAPACITY_AGE_MS) capacity = PoolCapacity.of(this, nowMs)
        return capacity
    }

    /**
     * Returns the places that stay free for more urgent ranks when one of [queue] asks: what comes of them while a
     * place frees, with a margin for bursts.
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

    /** Puts the queues of [ranks] in order. Waiting requests of a rank that is gone are returned. */
    fun setRanks(ranks: List<RankRecord>): List<TrackedRequest> {
        val old = queues.associateBy { it.rank.rank }
        queues = ranks.map { rank -> old[rank.rank]?.also { it.rank = rank } ?: RankQueue(rank) }
        val kept = ranks.map { it.rank }.toSet()
        return old.filterKeys { it !in kept }.values.flatMap { it.requests.toList() }
    }

    /** Notes the facts and the load of a server. Returns whether its ledger is new and empty. */
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

    /** Removes a server. */
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
