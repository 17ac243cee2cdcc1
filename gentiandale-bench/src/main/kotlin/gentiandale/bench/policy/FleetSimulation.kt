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
    private val decodes = (0 until scenario.servers / 2).map { newDecodeEngine(it) }
    private val prefillById = prefills.associateBy { it.facts.server }
    private val decodeById = decodes.associateBy { it.facts.server }
    private val openRequests = LinkedHashMap<RequestId, SimulatedRequest>()
    private val result = SimulationResult()

    /** Runs the scenario to its end and returns the results of the measured period. */
    fun run(): SimulationResult {
        callPolicy(CallKind.OBSERVE) {
            policy.observe(FleetEvent.ModelsChanged(listOf(ModelRecord(Workload.MODEL, KV_BYTES))), it)
        }
        callPolicy(CallKind.OBSERVE) {
            policy.observe(FleetEvent.RanksChanged(listOf(Workload.URGENT, Workload.ROUTINE)), it)
        }
        prefills.forEach { server ->
            server.onCacheChange = { hashes, present -> reportCacheChange(server, hashes, present) }
            startReporting(server.facts, { server.isUp }, server::load)
        }
        decodes.forEach { server -> startReporting(server.facts, { server.isUp }, server::load) }
        arrivals.forEach { scheduler.schedule(it.atMs) { submitArrival(it) } }
        tick()
        scheduler.schedule(WARM_UP_MS + scenario.measuredMs / 2) { injectFault() }
        scheduler.runUntil(WARM_UP_MS + scenario.measuredMs + DRAIN_MS)
        result.prefillTokens = prefills.sumOf { it.computedTokens }
        result.engineRefusals = decodes.sumOf { it.refusedAttempts }
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

    private fun newDecodeEngine(number: Int): SimulatedDecodeEngine {
        val isSlow = number < scenario.slowDecodeShare * scenario.servers / 2
        val tokenMsPerRequest = if (isSlow) Workload.SLOW_TOKEN_MS_PER_REQUEST else Workload.TOKEN_MS_PER_REQUEST
        return SimulatedDecodeEngine(facts(number, ServerKind.DECODE), tokenMsPerRequest, scheduler)
    }

    private fun submitArrival(arrival: Arrival) {
        val request = SimulatedRequest(arrival, ::onToken)
        openRequests[request.id] = request
        if (isMeasured(arrival)) result.addArrival(arrival)
        callPolicy(CallKind.SUBMIT) { policy.submit(arrival.request, it) }
        scheduler.schedule(arrival.request.deadlineMs - scheduler.nowMs) { expire(request) }
    }

    private fun expire(request: SimulatedRequest) {
        if (openRequests[request.id] !== request) return
        result.expired++
        closeRequest(request)
        callPolicy(CallKind.PROGRESS) { policy.progress(RequestEvent.Cancelled(request.id), it) }
    }

    private fun closeRequest(request: SimulatedRequest) {
        openRequests.remove(request.id)
        releaseServers(request)
    }

    private fun releaseServers(request: SimulatedRequest) {
        result.wastedTokens += request.unusedTokens
        request.unusedTokens = 0
        request.prefill?.cancel(request.id)
        request.decode?.cancel(request.id)
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.Place -> openRequests[effect.request]?.let { place(it, effect) }
            is Effect.Preempt -> openRequests[effect.request]?.let { releaseServers(it) }
            is Effect.Refuse -> openRequests[effect.request]?.let { target ->
                closeRequest(target)
                if (isMeasured(target.arrival)) result.addRefusal(effect.refusal, scheduler.nowMs - target.arrival.atMs)
            }
        }
    }

    private fun place(request: SimulatedRequest, place: Effect.Place) {
        val prefill = prefillById.getValue(place.pair.prefill)
        if (place.attempt.value > 1) result.retries++
        request.attempt = place.attempt
        request.prefill = prefill
        request.decode = decodeById.getValue(place.pair.decode)
        scheduler.schedule(Workload.NETWORK_DELAY_MS) {
            when {
                !isCurrentAttempt(request, place) -> Unit
                !prefill.isUp -> scheduleFailure(request, place, prefill.facts.server)
                else -> prefill.start(request, place.priority) { tokens -> onPrefilled(request, place, tokens) }
            }
        }
    }

    private fun onPrefilled(request: SimulatedRequest, place: Effect.Place, tokens: Int) {
        val prefill = prefillById.getValue(place.pair.prefill)
        val decode = decodeById.getValue(place.pair.decode)
        if (!isCurrentAttempt(request, place)) {
            result.wastedTokens += tokens
            return
        }
        request.unusedTokens = tokens
        if (!prefill.isUp) return scheduleFailure(request, place, prefill.facts.server)
        callPolicy(CallKind.PROGRESS) {
            policy.progress(RequestEvent.Prefilled(request.id, request.attempt, request.cachedTokens(tokens)), it)
        }
        when {
            !isCurrentAttempt(request, place) -> Unit
            !decode.isUp -> scheduleFailure(request, place, decode.facts.server)
            !decode.admit(request) -> fail(request, place, decode.facts.server)
            else -> transfer(request, place, prefill, decode)
        }
    }

    private fun transfer(
        request: SimulatedRequest,
        place: Effect.Place,
        prefill: SimulatedPrefillEngine,
        decode: SimulatedDecodeEngine,
    ) {
        val startMs = maxOf(scheduler.nowMs, prefill.linkFreeMs, decode.linkFreeMs)
        if (startMs - scheduler.nowMs > Workload.KV_LIFETIME_MS) return fail(request, place, prefill.facts.server)
        val bytes = (request.arrival.request.promptTokens + request.sentTokens) * KV_BYTES.toDouble()
        val endMs = startMs + bytes / Workload.LINK_BYTES_PER_MS
        prefill.linkFreeMs = endMs
        decode.linkFreeMs = endMs
        scheduler.schedule(endMs - scheduler.nowMs) {
            if (isCurrentAttempt(request, place)) decode.startDecoding(request)
        }
    }

    private fun onToken(request: SimulatedRequest, isLast: Boolean) {
        if (request.unusedTokens > 0) {
            request.unusedTokens = 0
            if (request.sentTokens == 1) request.firstTokenAtMs = scheduler.nowMs
            callPolicy(CallKind.PROGRESS) { policy.progress(RequestEvent.FirstToken(request.id, request.attempt), it) }
        }
        if (!isLast) return
        openRequests.remove(request.id)
        if (isMeasured(request.arrival)) result.addAnswer(request.arrival, meetsTargets(request))
        callPolicy(CallKind.PROGRESS) { policy.progress(RequestEvent.Answered(request.id, request.sentTokens), it) }
    }

    private fun meetsTargets(request: SimulatedRequest): Boolean {
        val firstMs = request.firstTokenAtMs - request.arrival.atMs
        val betweenMs = (scheduler.nowMs - request.firstTokenAtMs) / (request.sentTokens - 1).coerceAtLeast(1)
        return firstMs <= request.arrival.rank.firstTokenMs && betweenMs <= request.arrival.rank.betweenTokensMs
    }

    private fun fail(request: SimulatedRequest, place: Effect.Place, server: ServerId) {
        releaseServers(request)
        callPolicy(CallKind.PROGRESS) {
            policy.progress(RequestEvent.Failed(request.id, place.attempt, server, request.sentTokens), it)
        }
    }

    private fun scheduleFailure(request: SimulatedRequest, place: Effect.Place, server: ServerId) {
        val delayMs = if (scenario.fault == SimulatedFault.HALF_CUT) CUT_DETECTION_MS else Workload.NETWORK_DELAY_MS
        scheduler.schedule(delayMs) { if (isCurrentAttempt(request, place)) fail(request, place, server) }
    }

    private fun isCurrentAttempt(request: SimulatedRequest, place: Effect.Place) =
        openRequests[request.id] === request && request.attempt == place.attempt

    private fun injectFault() {
        when (scenario.fault) {
            SimulatedFault.NONE -> Unit
            SimulatedFault.DECODE_KILLED -> failDecodeEngine(decodes.first(), Workload.NETWORK_DELAY_MS)
            SimulatedFault.HALF_CUT -> {
                prefills.filter { isCutOff(it.facts) }.forEach { failPrefillEngine(it) }
                decodes.filter { isCutOff(it.facts) }.forEach { failDecodeEngine(it, CUT_DETECTION_MS) }
            }
        }
    }

    private fun isCutOff(facts: ServerFacts) = facts.dataCentre.value >= FIRST_CUT_DATA_CENTRE

    private fun failPrefillEngine(server: SimulatedPrefillEngine) {
        server.isUp = false
        scheduler.schedule(REMOVAL_DELAY_MS) {
            callPolicy(CallKind.OBSERVE) { policy.observe(FleetEvent.ServerGone(server.facts.server), it) }
        }
    }

    private fun failDecodeEngine(server: SimulatedDecodeEngine, detectionMs: Double) {
        server.isUp = false
        val lostAttempts = server.running.map { it to it.attempt }
        scheduler.schedule(detectionMs) {
            lostAttempts.filter { (request, attempt) ->
                openRequests[request.id] === request && request.attempt == attempt
            }.forEach { (request, attempt) ->
                releaseServers(request)
                val id = server.facts.server
                callPolicy(CallKind.PROGRESS) {
                    policy.progress(RequestEvent.Failed(request.id, attempt, id, request.sentTokens), it)
                }
            }
        }
        scheduler.schedule(REMOVAL_DELAY_MS) {
            callPolicy(CallKind.OBSERVE) { policy.observe(FleetEvent.ServerGone(server.facts.server), it) }
        }
    }

    private fun startReporting(facts: ServerFacts, isUp: () -> Boolean, load: () -> ServerLoad) {
        callPolicy(CallKind.OBSERVE) { policy.observe(FleetEvent.ServerSeen(facts, load()), it) }
        scheduler.schedule(random.nextDouble() * scenario.reportIntervalMs) { sendReport(facts, isUp, load) }
    }

    private fun sendReport(facts: ServerFacts, isUp: () -> Boolean, load: () -> ServerLoad) {
        if (!isUp()) return
        val reportedLoad = load()
        scheduler.schedule(scenario.reportLagMs) {
            if (isUp()) callPolicy(CallKind.OBSERVE) { policy.observe(FleetEvent.ServerSeen(facts, reportedLoad), it) }
        }
        scheduler.schedule(scenario.reportIntervalMs) { sendReport(facts, isUp, load) }
    }

    private fun reportCacheChange(server: SimulatedPrefillEngine, hashes: List<Long>, present: Boolean) {
        if (random.nextDouble() < CACHE_EVENT_LOSS_RATE) return
        val event = FleetEvent.CacheChanged(server.facts.server, hashes, present)
        scheduler.schedule(CACHE_EVENT_LAG_MS) { callPolicy(CallKind.OBSERVE) { policy.observe(event, it) } }
    }

    private fun tick() {
        callPolicy(CallKind.TICK) { policy.tick(it) }
        scheduler.schedule(TICK_MS) { tick() }
    }

    private fun callPolicy(kind: CallKind, call: (Long) -> List<Effect>) {
        val startNanos = System.nanoTime()
        val effects = call(scheduler.nowMs.toLong())
        if (scheduler.nowMs >= WARM_UP_MS) result.callTimes.add(kind, System.nanoTime() - startNanos)
        effects.forEach(::execute)
    }

    private fun isMeasured(arrival: Arrival) = arrival.atMs >= WARM_UP_MS

    private fun SimulatedRequest.cachedTokens(computed: Int) = arrival.request.promptTokens + sentTokens - computed

    private companion object {
        const val KV_BYTES = Workload.KV_BYTES_PER_TOKEN
        const val WARM_UP_MS = 8_000.0
        const val DRAIN_MS = 25_000.0
        const val DATA_CENTRES = 4
        const val FIRST_CUT_DATA_CENTRE = "dc2"
        const val MS_PER_SECOND = 1_000.0
        const val CUT_DETECTION_MS = 1_000.0
        const val REMOVAL_DELAY_MS = 3_000.0
        const val TICK_MS = 10.0
        const val CACHE_EVENT_LOSS_RATE = 0.1
        const val CACHE_EVENT_LAG_MS = 500.0
    }
}
