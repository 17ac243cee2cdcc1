package gentiandale.route

import gentiandale.core.CallOutcome
import gentiandale.core.ModelId
import gentiandale.core.ModelRecord
import gentiandale.core.RankId
import gentiandale.core.RankRecord
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerLoad

/**
 * Places each request on a prefill and a decode server that are chosen together. The decode place, its memory and the
 * transfer are reserved in the ledger before the prefill starts. Requests that can't be placed wait in the queue of
 * their rank, and are refused as soon as a forecast shows that they can't be served in time.
 */
public class JointPolicy(private val settings: PolicySettings = policySettings()) : RoutingPolicy {
    private val pools = LinkedHashMap<ModelId, ModelPool>()
    private val placers = HashMap<ModelId, Placer>()
    private val tracked = LinkedHashMap<RequestId, TrackedRequest>()
    private val admission = Admission(settings)
    private val retries = RetryBudget(settings.retryShare, settings.retryBurst)
    private var ranks = listOf(DEFAULT_RANK)
    private var hasRankRecords = false
    private var models: Map<ModelId, ModelRecord>? = null

    override fun observe(event: FleetEvent, nowMs: Long): List<Effect> {
        when (event) {
            is FleetEvent.ServerSeen -> onServerSeen(event.facts, event.load, nowMs)
            is FleetEvent.ServerGone -> pools.values.forEach { it.remove(event.server) }
            is FleetEvent.CacheChanged -> onCacheChanged(event, nowMs)
            is FleetEvent.CacheGap -> pools.values.forEach { it.cache.forget(event.server) }
            is FleetEvent.ModelsChanged -> onModelsChanged(event.models)
            is FleetEvent.RanksChanged -> onRanksChanged(event.ranks)
        }
        return placeAll(nowMs)
    }

    override fun submit(request: RouteRequest, nowMs: Long): List<Effect> {
        if (request.request in tracked) return emptyList()
        retries.recordSubmission()
        val rank =
            rankOf(request.rank) ?: return refuseUnknown(request, RefusalReason.UNKNOWN_RANK, "rank ${request.rank}")
        val pool = pools[request.model]
        if (pool == null || !pool.isServing()) return listOf(refuseWithoutServer(request, rank))
        val track = TrackedRequest(request, rank)
        tracked[request.request] = track
        pool.queue(rank.rank).recordArrival(nowMs)
        pool.queue(rank.rank).add(track)
        val effects = placerOf(pool).placeWaiting(nowMs)
        return if (track.isWaiting()) effects + refuseIfLate(pool, track, nowMs) else effects
    }

    override fun progress(event: RequestEvent, nowMs: Long): List<Effect> {
        val track = tracked[event.request] ?: return emptyList()
        val pool = pools[track.request.model] ?: return emptyList()
        val effects = when (event) {
            is RequestEvent.Prefilled -> onPrefilled(pool, track, event, nowMs)
            is RequestEvent.FirstToken -> onFirstToken(pool, track, event, nowMs)
            is RequestEvent.Failed -> onFailed(pool, track, event, nowMs)
            is RequestEvent.Answered -> onAnswered(pool, track, event, nowMs)
            is RequestEvent.Cancelled -> finish(pool, track, ended = false, nowMs)
        }
        return effects + placerOf(pool).placeWaiting(nowMs)
    }

    override fun tick(nowMs: Long): List<Effect> =
        pools.values.flatMap { placerOf(it).placeWaiting(nowMs) + refuseLate(it, nowMs) }

    /** Returns the number of reserved decode places. */
    internal fun reservedPlaces(): Int = pools.values.sumOf { pool -> pool.decodes.sumOf { it.requests.size } }

    /** Returns whether ledgers and queues agree with the phases of the requests. */
    internal fun areReservationsConsistent(): Boolean = pools.values.all { pool ->
        val ofPool = tracked.values.filter { it.request.model == pool.model }
        val onServers = ofPool.mapNotNull { track -> (track.phase as? Phase.OnServers)?.let { track to it } }
        val queued = ofPool.filter { it.phase is Phase.Queued }.toSet()
        pool.decodes.all { server ->
            val expected = onServers.filter { it.second.pair.decode == server.facts.server }
            server.isConsistent() && server.requests == expected.map { it.first.request.request }.toSet()
        } &&
            pool.prefills.all { server ->
                val expected = onServers.filter {
                    it.second is Phase.Prefilling &&
                        it.second.pair.prefill == server.facts.server
                }
                server.requests == expected.map { it.first.request.request }.toSet()
            } &&
            queued == pool.queues.flatMap { it.requests }.toSet()
    }

    private fun TrackedRequest.isWaiting() = phase is Phase.Queued && request.request in tracked

    private fun rankOf(rank: RankId): RankRecord? =
        if (hasRankRecords) ranks.firstOrNull { it.rank == rank } else DEFAULT_RANK

    private fun placerOf(pool: ModelPool): Placer = placers.getOrPut(pool.model) {
        Placer(pool, settings, admission, { tracked.remove(it.request.request) }, { tracked.values })
    }

    private fun placeAll(nowMs: Long): List<Effect> = pools.values.flatMap { placerOf(it).placeWaiting(nowMs) }

    private fun onServerSeen(facts: ServerFacts, load: ServerLoad, nowMs: Long) {
        val model = facts.model ?: return
        pools.values.filter { it.model != model }.forEach { it.remove(facts.server) }
        val pool = pools.getOrPut(model) { newPool(model) }
        if (pool.update(facts, load, nowMs)) restoreReservations(pool, facts, nowMs)
    }

    /** Restores the reservations on a server that was removed or has restarted, until the requests fail or end. */
    private fun restoreReservations(pool: ModelPool, facts: ServerFacts, nowMs: Long) {
        for (track in tracked.values) {
            val phase = track.phase as? Phase.OnServers ?: continue
            val id = track.request.request
            if (phase.pair.decode == facts.server) pool.decode(facts.server)?.add(track, nowMs.toDouble(), nowMs)
            if (phase is Phase.Prefilling && phase.pair.prefill == facts.server) {
                pool.prefill(facts.server)?.add(id, track.prefillTokens.toDouble(), track.rank.order, nowMs)
            }
        }
    }

    private fun newPool(model: ModelId): ModelPool {
        val pool = ModelPool(model, settings.headroomMs)
        pool.setRanks(ranks)
        models?.get(model)?.let { pool.kvBytesPerToken = it.kvBytesPerToken }
        return pool
    }

    private fun onCacheChanged(event: FleetEvent.CacheChanged, nowMs: Long) {
        val pool = pools.values.firstOrNull { it.prefill(event.server) != null } ?: return
        if (event.present) {
            pool.cache.add(
                event.server,
                event.hashes,
                nowMs,
            )
        } else {
            pool.cache.remove(event.server, event.hashes)
        }
    }

    private fun onModelsChanged(records: List<ModelRecord>) {
        models = records.associateBy { it.model }
        records.forEach { record -> pools[record.model]?.kvBytesPerToken = record.kvBytesPerToken }
    }

    private fun onRanksChanged(records: List<RankRecord>) {
        hasRankRecords = records.isNotEmpty()
        ranks = records.sortedBy { it.order }.ifEmpty { listOf(DEFAULT_RANK) }
        val byId = ranks.associateBy { it.rank }
        tracked.values.forEach { it.rank = byId[it.rank.rank] ?: ranks.last() }
        pools.values.forEach { pool ->
            pool.setRanks(ranks).forEach { pool.queue(it.rank.rank).add(it) }
        }
    }

    private fun onPrefilled(
        pool: ModelPool,
        track: TrackedRequest,
        event: RequestEvent.Prefilled,
        nowMs: Long,
    ): List<Effect> {
        val phase = track.phase
        if (phase !is Phase.Prefilling || event.attempt != track.attempt) return emptyList()
        val ledger = pool.prefill(phase.pair.prefill)
        ledger?.complete(track.request.request, event.cachedTokens, track.prefillTokens, nowMs)
        ledger?.cooldown?.succeeded()
        if (ledger != null) pool.cache.add(phase.pair.prefill, track.request.prefix, nowMs)
        track.phase = Phase.Transferring(phase.pair)
        return emptyList()
    }

    private fun onFirstToken(
        pool: ModelPool,
        track: TrackedRequest,
        event: RequestEvent.FirstToken,
        nowMs: Long,
    ): List<Effect> {
        val phase = track.phase as? Phase.OnServers
        if (phase == null || phase is Phase.Decoding || event.attempt != track.attempt) return emptyList()
        pool.prefill(phase.pair.prefill)?.remove(track.request.request, nowMs)
        val ledger = pool.decode(phase.pair.decode)
        ledger?.cooldown?.succeeded()
        track.phase = Phase.Decoding(phase.pair, nowMs, ledger?.used ?: 1)
        val tokenMs = ledger?.tokenTime?.tokenMs(ledger.facts.places) ?: 0.0
        val remainingTokens = track.request.maxTokens - track.sentTokens
        ledger?.onTransferred(track.request.request, nowMs + (remainingTokens * tokenMs).toLong())
        return emptyList()
    }

    private fun onAnswered(
        pool: ModelPool,
        track: TrackedRequest,
        event: RequestEvent.Answered,
        nowMs: Long,
    ): List<Effect> {
        val phase = track.phase
        val intervals = event.tokens - track.sentTokens - 1
        if (phase is Phase.Decoding && intervals >= MIN_LEARNED_INTERVALS) {
            val ledger = pool.decode(phase.pair.decode)
            val batch = (phase.batch + (ledger?.used ?: phase.batch)) / 2.0
            ledger?.tokenTime?.add(batch, (nowMs - phase.sinceMs).toDouble() / intervals)
        }
        placerOf(pool).correctCredits(track, event.tokens)
        return finish(pool, track, ended = true, nowMs)
    }

    private fun onFailed(
        pool: ModelPool,
        track: TrackedRequest,
        event: RequestEvent.Failed,
        nowMs: Long,
    ): List<Effect> {
        if (track.phase !is Phase.OnServers || event.attempt != track.attempt) return emptyList()
        placerOf(pool).release(track, ended = false, nowMs)
        pool.prefill(event.server)?.cooldown?.failed(nowMs)
        pool.decode(event.server)?.cooldown?.failed(nowMs)
        track.lastFailedServer = event.server
        track.sentTokens = event.sentTokens
        val refusal = when {
            nowMs >= track.request.deadlineMs -> admission.failed(
                track,
                "Attempt ${event.attempt} failed and the deadline has passed.",
            )
            track.attempt.value >= MAX_ATTEMPTS -> admission.failed(track, "All ${track.attempt} attempts failed.")
            !pool.isServing() -> admission.noServer(track)
            !retries.take() -> admission.failed(track, "The retry budget is exhausted.")
            else -> null
        }
        if (refusal != null) return listOf(refuse(track, refusal))
        pool.queue(track.rank.rank).add(track)
        return emptyList()
    }

    private fun finish(pool: ModelPool, track: TrackedRequest, ended: Boolean, nowMs: Long): List<Effect> {
        if (track.phase is Phase.Queued) pool.queue(track.rank.rank).drop(track)
        placerOf(pool).release(track, ended, nowMs)
        tracked.remove(track.request.request)
        return emptyList()
    }

    private fun refuseIfLate(pool: ModelPool, track: TrackedRequest, nowMs: Long): List<Effect> {
        val forecast = WaitForecast(pool, nowMs)
        val refusal = admission.refusalOfNew(track, forecast.waitMs(track), forecast, nowMs) ?: return emptyList()
        pool.queue(track.rank.rank).drop(track)
        return listOf(refuse(track, refusal))
    }

    private fun refuseLate(pool: ModelPool, nowMs: Long): List<Effect> {
        if (pool.waiting == 0) return emptyList()
        val late = ArrayList<kotlin.Pair<TrackedRequest, Refusal>>()
        val forecast = WaitForecast(pool, nowMs)
        val isServing = pool.isServing()
        forecast.visit { track, waitMs ->
            val refusal =
                if (isServing) admission.refusalOfQueued(track, waitMs, forecast, nowMs) else admission.noServer(track)
            if (refusal != null) late += track to refusal
            refusal == null
        }
        return late.map { (track, refusal) ->
            pool.queue(track.rank.rank).drop(track)
            refuse(track, refusal)
        }
    }

    private fun refuse(track: TrackedRequest, refusal: Refusal): Effect {
        tracked.remove(track.request.request)
        return Effect.Refuse(track.request.request, refusal)
    }

    private fun refuseWithoutServer(request: RouteRequest, rank: RankRecord): Effect {
        val isUnknown = models?.containsKey(request.model) == false && request.model !in pools
        if (isUnknown) return refuseUnknown(request, RefusalReason.UNKNOWN_MODEL, "model ${request.model}").first()
        return Effect.Refuse(request.request, admission.noServer(TrackedRequest(request, rank)))
    }

    private fun refuseUnknown(request: RouteRequest, reason: RefusalReason, name: String): List<Effect> {
        val refusal = Refusal(reason, CallOutcome.NOT_RUN, "The configuration has no record of $name.")
        return listOf(Effect.Refuse(request.request, refusal))
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val MIN_LEARNED_INTERVALS = 8
        val DEFAULT_RANK = RankRecord(RankId("default"), order = 0)
    }
}
