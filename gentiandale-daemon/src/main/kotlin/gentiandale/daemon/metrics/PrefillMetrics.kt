package gentiandale.daemon.metrics

import gentiandale.core.RequestId
import gentiandale.daemon.request.RequestListener
import gentiandale.route.RequestEvent
import gentiandale.route.RouteRequest
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.ConcurrentHashMap

/**
 * Counts prompt tokens that were prefilled, and how many of them were wasted on attempts that produced no token. Each
 * request is counted at the owner of its servers.
 */
internal class PrefillMetrics(registry: PrometheusRegistry) : RequestListener {
    /**
     * Prefill of a running request.
     *
     * @param awaitsToken whether the prefill is done and no token has been produced; wasted if the attempt ends now.
     */
    private class Prefill(val tokens: Int, val awaitsToken: Boolean = false)

    private val running = ConcurrentHashMap<RequestId, Prefill>()
    private val prefilled = Counter.builder()
        .name("gentiandale_prefill_tokens")
        .help("Prompt tokens prefilled.")
        .register(registry)
    private val wasted = Counter.builder()
        .name("gentiandale_prefill_tokens_wasted")
        .help("Prompt tokens prefilled for attempts that produced no token.")
        .register(registry)

    /** Number of running requests. */
    val size: Int get() = running.size

    override fun submitted(request: RouteRequest) {
        running[request.request] = Prefill(request.promptTokens)
    }

    override fun progressed(event: RequestEvent) {
        when (event) {
            is RequestEvent.Prefilled ->
                update(event.request, awaitsToken = true)?.let { prefilled.inc(it.tokens.toDouble()) }
            is RequestEvent.FirstToken -> update(event.request, awaitsToken = false)
            is RequestEvent.Failed -> update(event.request, awaitsToken = false)?.let(::countIfWasted)
            is RequestEvent.Cancelled -> running.remove(event.request)?.let(::countIfWasted)
            is RequestEvent.Answered -> running.remove(event.request)
        }
    }

    override fun refused(request: RequestId) {
        running.remove(request)?.let(::countIfWasted)
    }

    /** Updates the prefill of [request] and returns its previous value; null if the request is not running. */
    private fun update(request: RequestId, awaitsToken: Boolean): Prefill? {
        val previous = running[request] ?: return null
        running[request] = Prefill(previous.tokens, awaitsToken)
        return previous
    }

    private fun countIfWasted(prefill: Prefill) {
        if (prefill.awaitsToken) wasted.inc(prefill.tokens.toDouble())
    }
}
