package gentiandale.bench.policy

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ModelRecord
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad
import gentiandale.route.Effect
import gentiandale.route.FleetEvent
import gentiandale.route.RequestEvent
import gentiandale.route.RoutingPolicy
import kotlin.random.Random

/** Discrete-event simulation of a fleet: runs [scenario] against [policy] in virtual time. */
internal class FleetSimulation(private val scenario: Scenario, seed: Long, private val policy: RoutingPolicy) {
    private val scheduler = EventScheduler()
    private val random = Random(seed)
    private val arrivals = ArrivalGenerator(scenario, seed).generateUntil(WARM_UP_MS + scenario.measuredMs)
    private val prefills = (0 until scenario.servers / 2).map {
        SimulatedPrefillEngine(facts(it, ServerKind.PREFILL), scheduler)
    }
    private val decodes = (0 until scenario.servers / 2).map { newDecode(it) }
    private val prefillById = prefills.associateBy { it.facts.server }
    private val decodeById = decodes.associateBy { it.facts.server }
    private val open = LinkedHashMap<RequestId, SimulatedRequest>()
    private val result = SimulationResult()

    /** Runs the scenario to its end and returns the results of the measured part. */
    fun run(): SimulationResult {
        decide(CallKind.OBSERVE) {
            policy.observe(FleetEvent.ModelsChanged(listOf(ModelRecord(Workload.MODEL, KV_BYTES))), it)
        }
        decide(CallKind.OBSERVE) {
            policy.observe(FleetEvent.RanksChanged(listOf(Workload.URGENT, Workload.ROUTINE)), it)
        }
        prefills.forEach { server ->
            server.onCache = { hashes, present -> tellCache(server, hashes, present) }
            report(server.facts, { server.isUp }, server::load)
        }
        decodes.forEach { server -> report(server.facts, { server.isUp }, server::load) }
        arrivals.forEach { scheduler.schedule(it.atMs) { arrive(it) } }
        tick()
        scheduler.schedule(WARM_UP_MS + scenario.measuredMs / 2) { strike() }
        scheduler.runUntil(WARM_UP_MS + scenario.measuredMs + DRAIN_MS)
        result.prefillTokens = prefills.sumOf { it.computedTokens }
        result.engineRefusals = decodes.sumOf { it.refused }
        return result
    }

    private fun facts(number: Int, kind: ServerKind) = ServerFacts(
        server = ServerId("${kind.name.lowercase()}-$number"),
        incarnation = Incarnation(1),
        address = Address("127.0.0.1", 1),
        dataCentre = DataCentreId("dc${number % DATA_CENTRES}"),
        kind = kind,
        model = Workload.MODEL,
        places = Workload.PLACES,
        memoryBlocks = Workload.MEMORY_BLOCKS,
        blockTokens = Workload.BLOCK_TOKENS,
        prefillTokensPerSecond = Workload.PREFILL_TOKENS_PER_MS * MS_PER_SECOND,
        linkBytesPerSecond = Workload.LINK_BYTES_PER_MS * MS_PER_SECOND,
    )

    private fun newDecode(number: Int): SimulatedDecodeEngine {
        val isSlow = number < scenario.slowPart * scenario.servers / 2
        val stepMs = if (isSlow) Workload.SLOW_TOKEN_STEP_MS else Workload.TOKEN_STEP_MS
        return SimulatedDecodeEngine(facts(number, ServerKind.DECODE), stepMs, scheduler)
    }

    private fun arrive(arrival: Arrival) {
        val run = SimulatedRequest(arrival, ::token)
        open[run.id] = run
        if (isMeasured(arrival)) result.offered(arrival)
        decide(CallKind.SUBMIT) { policy.submit(arrival.request, it) }
        scheduler.schedule(arrival.request.deadlineMs - scheduler.nowMs) { expire(run) }
    }

    private fun expire(run: SimulatedRequest) {
        if (open[run.id] !== run) return
        result.expired++
        close(run)
        decide(CallKind.PROGRESS) { policy.progress(RequestEvent.Cancelled(run.id), it) }
    }

    private fun close(run: SimulatedRequest) {
        open.remove(run.id)
        leaveServers(run)
    }

    private fun leaveServers(run: SimulatedRequest) {
        result.wastedTokens += run.unusedTokens
        run.unusedTokens = 0
        run.prefill?.cancel(run.id)
        run.decode?.cancel(run.id)
    }

    private fun act(effect: Effect) {
        when (effect) {
            is Effect.Place -> open[effect.request]?.let { place(it, effect) }
            is Effect.Preempt -> open[effect.request]?.let { leaveServers(it) }
            is Effect.Refuse -> open[effect.request]?.let { run ->
                close(run)
                if (isMeasured(run.arrival)) result.refused(effect.refusal, scheduler.nowMs - run.arrival.atMs)
            }
        }
    }

    private fun place(run: SimulatedRequest, place: Effect.Place) {
        val prefill = prefillById.getValue(place.pair.prefill)
        if (place.attempt.value > 1) result.retries++
        run.attempt = place.attempt
        run.prefill = prefill
        run.decode = decodeById.getValue(place.pair.decode)
        scheduler.schedule(Workload.HOP_MS) {
            when {
                !isAt(run, place) -> Unit
                !prefill.isUp -> failLater(run, place, prefill.facts.server)
                else -> prefill.start(run, place.priority) { tokens -> prefilled(run, place, tokens) }
            }
        }
    }

    private fun prefilled(run: SimulatedRequest, place: Effect.Place, tokens: Int) {
        val prefill = prefillById.getValue(place.pair.prefill)
        val decode = decodeById.getValue(place.pair.decode)
        if (!isAt(run, place)) {
            result.wastedTokens += tokens
            return
        }
        run.unusedTokens = tokens
        if (!prefill.isUp) return failLater(run, place, prefill.facts.server)
        decide(CallKind.PROGRESS) {
            policy.progress(RequestEvent.Prefilled(run.id, run.attempt, run.cached(tokens)), it)
        }
        when {
            !isAt(run, place) -> Unit
            !decode.isUp -> failLater(run, place, decode.facts.server)
            !decode.admit(run) -> fail(run, place, decode.facts.server)
            else -> transfer(run, place, prefill, decode)
        }
    }

    private fun transfer(
        run: SimulatedRequest,
        place: Effect.Place,
        prefill: SimulatedPrefillEngine,
        decode: SimulatedDecodeEngine,
    ) {
        val startMs = maxOf(scheduler.nowMs, prefill.linkFreeMs, decode.linkFreeMs)
        if (startMs - scheduler.nowMs > Workload.KV_LIFETIME_MS) return fail(run, place, prefill.facts.server)
        val bytes = (run.arrival.request.promptTokens + run.sent) * KV_BYTES.toDouble()
        val endMs = startMs + bytes / Workload.LINK_BYTES_PER_MS
        prefill.linkFreeMs = endMs
        decode.linkFreeMs = endMs
        scheduler.schedule(endMs - scheduler.nowMs) { if (isAt(run, place)) decode.begin(run) }
    }

    private fun token(run: SimulatedRequest, isLast: Boolean) {
        if (run.unusedTokens > 0) {
            run.unusedTokens = 0
            if (run.sent == 1) run.firstTokenMs = scheduler.nowMs
            decide(CallKind.PROGRESS) { policy.progress(RequestEvent.FirstToken(run.id, run.attempt), it) }
        }
        if (!isLast) return
        open.remove(run.id)
        if (isMeasured(run.arrival)) result.answered(run.arrival, isGood(run))
        decide(CallKind.PROGRESS) { policy.progress(RequestEvent.Answered(run.id, run.sent), it) }
    }

    private fun isGood(run: SimulatedRequest): Boolean {
        val firstMs = run.firstTokenMs - run.arrival.atMs
        val betweenMs = (scheduler.nowMs - run.firstTokenMs) / (run.sent - 1).coerceAtLeast(1)
        return firstMs <= run.arrival.rank.firstTokenMs && betweenMs <= run.arrival.rank.betweenTokensMs
    }

    private fun fail(run: SimulatedRequest, place: Effect.Place, server: ServerId) {
        leaveServers(run)
        decide(CallKind.PROGRESS) { policy.progress(RequestEvent.Failed(run.id, place.attempt, server, run.sent), it) }
    }

    private fun failLater(run: SimulatedRequest, place: Effect.Place, server: ServerId) {
        val delayMs = if (scenario.fault == Fault.HALF_CUT) SILENCE_MS else Workload.HOP_MS
        scheduler.schedule(delayMs) { if (isAt(run, place)) fail(run, place, server) }
    }

    private fun isAt(run: SimulatedRequest, place: Effect.Place) =
        open[run.id] === run && run.attempt == place.attempt

    private fun strike() {
        when (scenario.fault) {
            Fault.NONE -> Unit
            Fault.DECODE_KILLED -> loseDecode(decodes.first(), Workload.HOP_MS)
            Fault.HALF_CUT -> {
                prefills.filter { isFar(it.facts) }.forEach { losePrefill(it) }
                decodes.filter { isFar(it.facts) }.forEach { loseDecode(it, SILENCE_MS) }
            }
        }
    }

    private fun isFar(facts: ServerFacts) = facts.dataCentre.value >= FIRST_FAR_DATA_CENTRE

    private fun losePrefill(server: SimulatedPrefillEngine) {
        server.isUp = false
        scheduler.schedule(GONE_MS) {
            decide(CallKind.OBSERVE) { policy.observe(FleetEvent.ServerGone(server.facts.server), it) }
        }
    }

    private fun loseDecode(server: SimulatedDecodeEngine, noticedMs: Double) {
        server.isUp = false
        val lost = server.running.map { it to it.attempt }
        scheduler.schedule(noticedMs) {
            lost.filter { (run, attempt) -> open[run.id] === run && run.attempt == attempt }.forEach { (run, attempt) ->
                leaveServers(run)
                val id = server.facts.server
                decide(CallKind.PROGRESS) { policy.progress(RequestEvent.Failed(run.id, attempt, id, run.sent), it) }
            }
        }
        scheduler.schedule(GONE_MS) {
            decide(CallKind.OBSERVE) { policy.observe(FleetEvent.ServerGone(server.facts.server), it) }
        }
    }

    private fun report(facts: ServerFacts, isUp: () -> Boolean, load: () -> ServerLoad) {
        decide(CallKind.OBSERVE) { policy.observe(FleetEvent.ServerSeen(facts, load()), it) }
        scheduler.schedule(random.nextDouble() * scenario.reportMs) { reportAgain(facts, isUp, load) }
    }

    private fun reportAgain(facts: ServerFacts, isUp: () -> Boolean, load: () -> ServerLoad) {
        if (!isUp()) return
        val seen = load()
        scheduler.schedule(scenario.lagMs) {
            if (isUp()) decide(CallKind.OBSERVE) { policy.observe(FleetEvent.ServerSeen(facts, seen), it) }
        }
        scheduler.schedule(scenario.reportMs) { reportAgain(facts, isUp, load) }
    }

    private fun tellCache(server: SimulatedPrefillEngine, hashes: List<Long>, present: Boolean) {
        if (random.nextDouble() < CACHE_EVENTS_LOST) return
        val event = FleetEvent.CacheChanged(server.facts.server, hashes, present)
        scheduler.schedule(CACHE_EVENT_LAG_MS) { decide(CallKind.OBSERVE) { policy.observe(event, it) } }
    }

    private fun tick() {
        decide(CallKind.TICK) { policy.tick(it) }
        scheduler.schedule(TICK_MS) { tick() }
    }

    private fun decide(kind: CallKind, step: (Long) -> List<Effect>) {
        val begin = System.nanoTime()
        val effects = step(scheduler.nowMs.toLong())
        if (scheduler.nowMs >= WARM_UP_MS) result.callTimes.add(kind, System.nanoTime() - begin)
        effects.forEach(::act)
    }

    private fun isMeasured(arrival: Arrival) = arrival.atMs >= WARM_UP_MS

    private fun SimulatedRequest.cached(computed: Int) = arrival.request.promptTokens + sent - computed

    private companion object {
        const val KV_BYTES = Workload.KV_BYTES_PER_TOKEN
        const val WARM_UP_MS = 8_000.0
        const val DRAIN_MS = 25_000.0
        const val DATA_CENTRES = 4
        const val FIRST_FAR_DATA_CENTRE = "dc2"
        const val MS_PER_SECOND = 1_000.0
        const val SILENCE_MS = 1_000.0
        const val GONE_MS = 3_000.0
        const val TICK_MS = 10.0
        const val CACHE_EVENTS_LOST = 0.1
        const val CACHE_EVENT_LAG_MS = 500.0
    }
}
