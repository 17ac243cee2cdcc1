package gentiandale.route

import kotlin.math.roundToLong

/** Places the queued requests of one pool in the order given by the ranks and their minimum shares. */
internal class Placer(
    private val pool: ModelPool,
    private val settings: PolicySettings,
    private val admission: Admission,
    private val onRefused: (TrackedRequest) -> Unit,
    private val tracked: () -> Collection<TrackedRequest>,
) {
    private val chooser = PairChooser(pool, settings)

    /** Places all requests that can be placed now. */
    fun placeWaiting(nowMs: Long): List<Effect> {
        if (pool.waiting == 0) return emptyList()
        val effects = ArrayList<Effect>(2)
        val forecast = WaitForecast(pool, nowMs)
        while (pool.waiting > 0) {
            effects += placeNext(forecast, nowMs) ?: break
        }
        if (settings.preemption) effects += preemptForUrgent(nowMs)
        return effects
    }

    /** Releases all reservations of [track]. If not [ended], its engine may still run it and has to be told to stop. */
    fun release(track: TrackedRequest, ended: Boolean, nowMs: Long) {
        val phase = track.phase as? Phase.OnServers ?: return
        pool.prefill(phase.pair.prefill)?.remove(track.request.request, nowMs)
        pool.decode(phase.pair.decode)?.remove(track.request.request, ended, nowMs)
        pool.holdMs.add((nowMs - phase.pair.placedMs).toDouble())
        track.phase = Phase.Queued
    }

    /** Corrects the credits of the ranks after an answer of [tokens] tokens, which may be fewer than were charged. */
    fun correctCredits(track: TrackedRequest, tokens: Int) {
        val unused = track.unusedWork(tokens)
        pool.queues.forEach { queue ->
            val isSameRank = queue.rank.rank == track.rank.rank
            if (isSameRank) queue.refund(unused * track.chargedWork / track.work) else queue.accrue(-unused)
        }
    }

    private fun placeNext(forecast: WaitForecast, nowMs: Long): Effect? {
        val free = freePlaces()
        if (free == 0 && !settings.overlap) return null
        for (queue in serviceOrder()) {
            if (free <= headroom(queue, nowMs)) continue
            var tried = 0
            for (track in queue.requests) {
                if (++tried > MAX_TRIED_PER_QUEUE) break
                val choice = chooser.choose(track, nowMs) ?: continue
                return place(queue, track, choice, forecast, nowMs)
            }
        }
        return null
    }

    private fun freePlaces(): Int {
        var free = 0
        for (server in pool.decodes) free += server.freePlaces(Long.MAX_VALUE).coerceAtLeast(0)
        return free
    }

    /** Queues in service order: interrupted streams first, then ranks with enough credit, then the most urgent rank. */
    private fun serviceOrder(): List<RankQueue> = pool.queues.filter { it.size > 0 }.sortedBy {
        when {
            (it.first()?.sentTokens ?: 0) > 0 -> 0
            it.hasCreditForNext() -> 1
            else -> 2
        }
    }

    /** A rank with enough credit or with an interrupted stream may use the places kept free for more urgent ranks. */
    private fun headroom(queue: RankQueue, nowMs: Long): Int {
        if (queue.hasCreditForNext() || (queue.first()?.sentTokens ?: 0) > 0) return 0
        return pool.headroom(queue, nowMs)
    }

    private fun place(
        queue: RankQueue,
        track: TrackedRequest,
        choice: PairChoice,
        forecast: WaitForecast,
        nowMs: Long,
    ): Effect {
        val refusal = admission.refusalOfPlaced(track, choice.firstTokenMs, forecast, nowMs)
        if (refusal != null) {
            queue.drop(track)
            onRefused(track)
            return Effect.Refuse(track.request.request, refusal)
        }
        queue.dequeue(track, nowMs)
        track.chargedWork = queue.charge(track.work)
        pool.queues.forEach { if (it !== queue) it.accrue(track.work) }
        reserve(track, choice, nowMs)
        return Effect.Place(
            request = track.request.request,
            attempt = track.attempt,
            pair = ServerPair(choice.prefill.facts.server, choice.decode.facts.server),
            why = "first token expected in ${choice.firstTokenMs.roundToLong()} ms, " +
                "place ${choice.decode.used} of ${choice.decode.facts.places}",
            passedOver = choice.passedOver,
            priority = track.rank.order,
        )
    }

    private fun reserve(track: TrackedRequest, choice: PairChoice, nowMs: Long) {
        track.attempt = track.attempt.next()
        val pair = ReservedPair(choice.prefill.facts.server, choice.decode.facts.server, nowMs)
        track.phase = Phase.Prefilling(pair)
        choice.prefill.add(track.request.request, choice.prefillTokens, track.rank.order, nowMs)
        choice.decode.add(track, choice.transferEndMs, nowMs)
    }

    private fun preemptForUrgent(nowMs: Long): List<Effect> {
        val wanted = pool.queues.firstOrNull()?.first() ?: return emptyList()
        if (pool.decodes.any { it.freePlaces(wanted.rank.betweenTokensMs) > 0 }) return emptyList()
        val victim = lastPlacedBelow(wanted) ?: return emptyList()
        release(victim, ended = false, nowMs)
        pool.queue(victim.rank.rank).add(victim)
        val why = "place needed by ${wanted.request.request} of rank ${wanted.rank.rank}"
        val preempt = Effect.Preempt(victim.request.request, victim.attempt, why)
        return listOf(preempt) + listOfNotNull(placeNext(WaitForecast(pool, nowMs), nowMs))
    }

    /** Returns the request of a less urgent rank than [wanted] that was placed last, since it loses the least work. */
    private fun lastPlacedBelow(wanted: TrackedRequest): TrackedRequest? = tracked()
        .filter { it.request.model == pool.model && it.rank.order > wanted.rank.order }
        .mapNotNull { track -> (track.phase as? Phase.OnServers)?.let { track to it.pair.placedMs } }
        .maxByOrNull { it.second }
        ?.first

    private companion object {
        const val MAX_TRIED_PER_QUEUE = 3
    }
}
