package gentiandale.standin.load

import gentiandale.core.Address
import gentiandale.core.RankId

/** Base class of load tests with default options that each test adjusts. */
abstract class LoadFixture {
    protected val options = LoadOptions(
        targets = listOf(Address("127.0.0.1", 1), Address("127.0.0.1", 2)),
        model = "chat-small",
        seed = 3,
        arrivalsPerSecond = 100.0,
        ranks = listOf(RankWeight(RankId("urgent"), 1.0), RankWeight(RankId("routine"), 3.0)),
        promptTokens = 10..1_000,
        maxTokens = 3..3,
        latency = LatencyTargets(firstTokenMs = 100, betweenTokensMs = 20),
        durationMs = 20_000,
        maxRequests = 10_000,
        answerLimitMs = 20_000,
    )

    internal fun plan(changed: LoadOptions = options): List<PlannedRequest> = LoadPlan(changed).requests()
}
