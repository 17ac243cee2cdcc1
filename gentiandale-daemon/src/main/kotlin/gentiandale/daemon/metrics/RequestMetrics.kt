package gentiandale.daemon.metrics

import gentiandale.core.Clock
import gentiandale.core.Refusal
import gentiandale.daemon.request.Answer
import gentiandale.route.RouteRequest
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow

/** Metrics of completion requests: outcomes by rank, goodput, refusals and latencies. */
internal class RequestMetrics(
    registry: PrometheusRegistry,
    private val targets: RankTargets,
    private val clock: Clock,
) {
    private val requests =
        counter(registry, "gentiandale_requests", "Completion requests by rank and outcome.", "rank", "outcome")
    private val goodput = counter(registry, "gentiandale_goodput", "Answers within both latency targets.", "rank")
    private val tokens = counter(registry, "gentiandale_tokens", "Tokens sent to callers.", "rank")
    private val refusals =
        counter(registry, "gentiandale_refusals", "Refusals by reason and outcome.", "reason", "outcome")
    private val firstToken = histogram(registry, "gentiandale_first_token_seconds", "Time from arrival to first token.")
    private val betweenTokens = histogram(registry, "gentiandale_between_tokens_seconds", "Time between tokens.")

    /** Returns [answers] to [request] unchanged and records them, also if the caller disconnects before the end. */
    fun watch(request: RouteRequest, answers: Flow<Answer>): Flow<Answer> = flow {
        val recorder = AnswerRecorder(request)
        try {
            answers.collect { answer ->
                recorder.record(answer)
                emit(answer)
            }
        } finally {
            recorder.end()
        }
    }

    /** Counts [refusal] by its reason and outcome. */
    fun countRefusal(refusal: Refusal) {
        val outcome = refusal.outcome.name.lowercase().replace('_', '-')
        refusals.labelValues(refusal.reason.code, outcome).inc()
    }

    /** Records the answers to one request. */
    private inner class AnswerRecorder(private val request: RouteRequest) {
        private val rank = targets.label(request.rank)
        private var firstMs = 0L
        private var lastMs = 0L
        private var tokenCount = 0
        private var ended = false

        fun record(answer: Answer) = when (answer) {
            is Answer.Token -> token()
            is Answer.Finished -> finished()
            is Answer.Refused -> {
                countRefusal(answer.refusal)
                countRequest("refused")
            }
        }

        /** Counts the request as abandoned by its caller unless it has a final answer. */
        fun end() {
            if (!ended) countRequest("left")
        }

        private fun token() {
            val now = clock.monotonicMs()
            if (tokenCount == 0) {
                firstMs = now
                firstToken.labelValues(rank).observe((now - request.arrivedMs) / MS_PER_SECOND)
            } else {
                betweenTokens.labelValues(rank).observe((now - lastMs) / MS_PER_SECOND)
            }
            lastMs = now
            tokenCount++
            tokens.labelValues(rank).inc()
        }

        private fun finished() {
            countRequest("answered")
            val target = targets.of(request.rank)
            val meanGapMs = if (tokenCount > 1) (lastMs - firstMs).toDouble() / (tokenCount - 1) else 0.0
            val inTime = firstMs - request.arrivedMs <= target.firstTokenMs && meanGapMs <= target.betweenTokensMs
            if (tokenCount > 0 && inTime) goodput.labelValues(rank).inc()
        }

        private fun countRequest(outcome: String) {
            ended = true
            requests.labelValues(rank, outcome).inc()
        }
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val SMALLEST_BUCKET_SECONDS = 0.005
        const val BUCKET_COUNT = 12

        fun counter(registry: PrometheusRegistry, name: String, help: String, vararg labels: String): Counter =
            Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

        fun histogram(registry: PrometheusRegistry, name: String, help: String): Histogram = Histogram.builder()
            .name(name)
            .help(help)
            .labelNames("rank")
            .classicOnly()
            .classicExponentialUpperBounds(SMALLEST_BUCKET_SECONDS, 2.0, BUCKET_COUNT)
            .register(registry)
    }
}
