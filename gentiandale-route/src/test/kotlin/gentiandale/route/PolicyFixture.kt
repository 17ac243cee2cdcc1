package gentiandale.route

import gentiandale.core.Address
import gentiandale.core.CallerId
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.ModelRecord
import gentiandale.core.RankId
import gentiandale.core.RankRecord
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad

/** Drives a [JointPolicy] in virtual time. First-token targets are multiplied by [targetFactor]. */
internal open class PolicyFixture(targetFactor: Long = 1) {
    protected val model = ModelId("m")
    protected val urgent =
        RankRecord(RankId("urgent"), 0, firstTokenMs = 1_000 * targetFactor, betweenTokensMs = 80)
    protected val routine =
        RankRecord(RankId("routine"), 1, minimumShare = 0.2, firstTokenMs = 4_000 * targetFactor, betweenTokensMs = 80)
    protected var now = 0L
    protected var policy = JointPolicy()
    private var next = 0

    protected fun start(prefills: Int, decodes: Int, places: Int = 4, settings: PolicySettings = policySettings()) {
        policy = JointPolicy(settings)
        policy.observe(FleetEvent.ModelsChanged(listOf(ModelRecord(model, KV_BYTES_PER_TOKEN))), now)
        policy.observe(FleetEvent.RanksChanged(listOf(routine, urgent)), now)
        repeat(prefills) { seen(facts("p$it", ServerKind.PREFILL, places)) }
        repeat(decodes) { seen(facts("d$it", ServerKind.DECODE, places)) }
    }

    protected fun facts(
        name: String,
        kind: ServerKind,
        places: Int = 4,
        leaving: Boolean = false,
        incarnation: Long = 1,
        memoryBlocks: Int = 0,
    ) = ServerFacts(
        server = ServerId(name),
        incarnation = Incarnation(incarnation),
        address = Address("127.0.0.1", 1),
        dataCentre = DataCentreId("a"),
        kind = kind,
        model = model,
        places = places,
        memoryBlocks = memoryBlocks,
        prefillTokensPerSecond = 10_000.0,
        linkBytesPerSecond = 1e9,
        leaving = leaving,
    )

    protected fun seen(facts: ServerFacts, load: ServerLoad = ServerLoad()): List<Effect> =
        policy.observe(FleetEvent.ServerSeen(facts, load), now)

    protected fun request(
        rank: RankRecord = urgent,
        caller: String = "c",
        promptTokens: Int = 1_000,
        maxTokens: Int = 100,
        prefix: List<Long> = emptyList(),
        deadlineMs: Long = 200_000,
    ) = RouteRequest(
        request = RequestId("r${next++}"),
        caller = CallerId(caller),
        rank = rank.rank,
        model = model,
        promptTokens = promptTokens,
        maxTokens = maxTokens,
        prefix = prefix,
        arrivedMs = now,
        deadlineMs = now + deadlineMs,
    )

    protected fun submit(request: RouteRequest): List<Effect> = policy.submit(request, now)

    protected fun prefilled(place: Effect.Place): List<Effect> =
        policy.progress(RequestEvent.Prefilled(place.request, place.attempt), now)

    protected fun firstToken(place: Effect.Place): List<Effect> =
        policy.progress(RequestEvent.FirstToken(place.request, place.attempt), now)

    protected fun answered(place: Effect.Place, tokens: Int = 100): List<Effect> =
        policy.progress(RequestEvent.Answered(place.request, tokens), now)

    protected fun failed(place: Effect.Place, server: ServerId, sentTokens: Int = 0): List<Effect> =
        policy.progress(RequestEvent.Failed(place.request, place.attempt, server, sentTokens), now)

    /** Submits [request], which must be placed at once, and advances it to its first token. */
    protected fun decoding(request: RouteRequest): Effect.Place {
        val place = submit(request).placed().single()
        now += PREFILL_MS
        prefilled(place)
        firstToken(place)
        return place
    }

    protected fun List<Effect>.placed(): List<Effect.Place> = filterIsInstance<Effect.Place>()

    protected fun List<Effect>.refused(): List<Effect.Refuse> = filterIsInstance<Effect.Refuse>()

    protected companion object {
        const val RELAXED_TARGET_FACTOR = 30L
        const val KV_BYTES_PER_TOKEN = 40_000L
        const val PREFILL_MS = 100L
    }
}
