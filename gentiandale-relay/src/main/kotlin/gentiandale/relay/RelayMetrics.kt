package gentiandale.relay

import gentiandale.core.customer.CustomerName
import gentiandale.relay.routing.KeyRefusal
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counters and latency histograms of a relay. */
public class RelayMetrics(registry: PrometheusRegistry) : RelayStats {
    private val requests = Counter.builder()
        .name("gentiandale_requests_total")
        .help("Finished requests by rank and outcome.")
        .labelNames("rank", "outcome")
        .register(registry)
    private val unrouted = Counter.builder()
        .name("gentiandale_unrouted_requests_total")
        .help("Requests refused before they were routed, by status.")
        .labelNames("status")
        .register(registry)
    private val refusedKeys = Counter.builder()
        .name("gentiandale_refused_keys_total")
        .help("Requests refused on account of the key of a customer, by reason and by whether an entry VM sent them.")
        .labelNames("reason", "forwarded")
        .register(registry)
    private val leaseMissing = Counter.builder()
        .name("gentiandale_lease_refusals_total")
        .help("Sends of requests of customers prevented without a recent proof that the configuration is current.")
        .register(registry)
    private val customerLabels = CustomerLabels()
    private val customerRequests = Counter.builder()
        .name("gentiandale_customer_requests_total")
        .help("Finished requests by customer and outcome; customers beyond the first 64 are counted as other.")
        .labelNames("customer", "outcome")
        .register(registry)
    private val retries = Counter.builder()
        .name("gentiandale_repeated_sends_total")
        .help("Retries by service and by whether the retry budget allowed them.")
        .labelNames("service", "allowed")
        .register(registry)
    private val notices = Counter.builder()
        .name("gentiandale_server_notices_total")
        .help("Answers in which a server said that it leaves or wants no requests for a while, by kind.")
        .labelNames("kind")
        .register(registry)
    private val serverAnswers = Counter.builder()
        .name("gentiandale_server_answers_total")
        .help("Answers of servers that reached their end, by how that is marked and by whether the answer was whole.")
        .labelNames("framing", "whole")
        .register(registry)
    private val strayAnswers = Counter.builder()
        .name("gentiandale_stray_answers_total")
        .help("Bytes of servers that were not the answer which was due, by kind.")
        .labelNames("kind")
        .register(registry)
    private val suspectedCrashes = Counter.builder()
        .name("gentiandale_suspected_crashes_total")
        .help("Requests at a server that crashed before it had established their answer.")
        .register(registry)
    private val quarantined = Counter.builder()
        .name("gentiandale_quarantined_requests_total")
        .help("Requests kept away from servers, as they or a part of their prompt have crashed some.")
        .register(registry)
    private val silences = Counter.builder()
        .name("gentiandale_stream_silences_total")
        .help("Times that a server sent no event of a stream for a second or so, by what was done.")
        .labelNames("decision")
        .register(registry)
    private val takenUp = Counter.builder()
        .name("gentiandale_streams_taken_up_total")
        .help("Broken streams that callers took up, by whether they went on.")
        .labelNames("decision")
        .register(registry)
    private val reachChanges = Counter.builder()
        .name("gentiandale_reach_changes_total")
        .help("Times that this VM lost all servers of a service, or reached one again.")
        .labelNames("service", "reached")
        .register(registry)
    private val forwarded = Counter.builder()
        .name("gentiandale_forwarded_requests_total")
        .help("Sends of requests to another entry VM, as this one reaches no server of the service.")
        .labelNames("service")
        .register(registry)
    private val quotaDecisions = Counter.builder()
        .name("gentiandale_quota_decisions_total")
        .help("Requests of customers with a quota, by what was decided; customers beyond the first 64 are 'other'.")
        .labelNames("customer", "decision")
        .register(registry)
    private val capacityDecisions = Counter.builder()
        .name("gentiandale_capacity_decisions_total")
        .help("Decisions about requests that need capacity which a control VM assigns, by service and decision.")
        .labelNames("service", "decision")
        .register(registry)
    private val capacityWaiting = Gauge.builder()
        .name("gentiandale_capacity_waiting_requests")
        .help("Requests that wait for capacity which a control VM assigns, by service.")
        .labelNames("service")
        .register(registry)
    private val capacityWait =
        histogram(registry, "gentiandale_capacity_wait_seconds", "Time that requests waited for capacity.", "service")
    private val duration = histogram(registry, "gentiandale_request_duration_seconds", "Time to the end of a request.")
    private val first = histogram(registry, "gentiandale_first_byte_seconds", "Time to the first byte of the answer.")

    override fun onEnded(route: String, urgency: Int, outcome: String, elapsedMs: Long, firstMs: Long?) {
        requests.labelValues(urgency.toString(), outcome).inc()
        duration.labelValues(urgency.toString()).observe(elapsedMs / MS_PER_S)
        if (firstMs != null) first.labelValues(urgency.toString()).observe(firstMs / MS_PER_S)
    }

    override fun onUnrouted(status: Int) {
        unrouted.labelValues(status.toString()).inc()
    }

    override fun onKeyRefused(reason: KeyRefusal, isForwarded: Boolean) {
        refusedKeys.labelValues(reason.label, isForwarded.toString()).inc()
    }

    override fun onLeaseMissing() {
        leaseMissing.inc()
    }

    override fun onCustomerRequest(customer: CustomerName, outcome: String) {
        customerRequests.labelValues(customerLabels.labelOf(customer), outcome).inc()
    }

    override fun onRetry(service: String, allowed: Boolean) {
        retries.labelValues(service, allowed.toString()).inc()
    }

    override fun onServerNotice(kind: String) {
        notices.labelValues(kind).inc()
    }

    override fun onServerAnswer(framing: String, isWhole: Boolean) {
        serverAnswers.labelValues(framing, isWhole.toString()).inc()
    }

    override fun onStrayAnswer(kind: String) {
        strayAnswers.labelValues(kind).inc()
    }

    override fun onSuspectedCrash() {
        suspectedCrashes.inc()
    }

    override fun onQuarantined() {
        quarantined.inc()
    }

    override fun onTakenUp(decision: String) {
        takenUp.labelValues(decision).inc()
    }

    override fun onReachChanged(service: String, isReached: Boolean) {
        reachChanges.labelValues(service, isReached.toString()).inc()
    }

    override fun onForwarded(service: String) {
        forwarded.labelValues(service).inc()
    }

    override fun onQuota(customer: CustomerName, decision: String) {
        quotaDecisions.labelValues(customerLabels.labelOf(customer), decision).inc()
    }

    override fun onStreamSilent(decision: String) {
        silences.labelValues(decision).inc()
    }

    override fun onCapacityDecision(service: String, decision: String, waitedMs: Long) {
        capacityDecisions.labelValues(service, decision).inc()
        if (decision in ENDS_OF_WAITS) capacityWait.labelValues(service).observe(waitedMs / MS_PER_S)
    }

    override fun onCapacityWaiting(service: String, change: Int) {
        capacityWaiting.labelValues(service).inc(change.toDouble())
    }

    private fun histogram(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        label: String = "rank",
    ) = Histogram.builder()
        .name(name)
        .help(help)
        .labelNames(label)
        .classicOnly()
        .classicExponentialUpperBounds(SHORTEST_S, BUCKET_FACTOR, BUCKETS)
        .register(registry)

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Decisions after which a request no longer waits. */
        val ENDS_OF_WAITS = setOf("granted", "refused", "fallback", "moved", "ended")

        /** From the time of the shortest plain request to beyond the longest deadline: 12.5 ms to 12.8 s and 25.6 s. */
        const val SHORTEST_S = 0.0125
        const val BUCKET_FACTOR = 2.0
        const val BUCKETS = 12
    }
}
