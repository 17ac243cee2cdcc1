package gentiandale.daemon.metrics

import gentiandale.core.Blackboard
import gentiandale.core.Clock
import io.prometheus.metrics.config.EscapingScheme
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Metrics of one entry VM. */
internal class VmMetrics(board: Blackboard, clock: Clock) {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.create()

    /** Metrics of completion requests. */
    val requests = RequestMetrics(registry, RankTargets(board), clock)

    /** Metrics of prefills placed by this VM. */
    val prefills = PrefillMetrics(registry)

    init {
        FleetMetrics(registry, board)
    }

    /** Content type of [render]. */
    val contentType: String get() = writer.contentType

    /** Returns all metrics in the Prometheus text format. */
    fun render(): ByteArray = ByteArrayOutputStream()
        .also { writer.write(it, registry.scrape(), EscapingScheme.DEFAULT) }
        .toByteArray()
}
