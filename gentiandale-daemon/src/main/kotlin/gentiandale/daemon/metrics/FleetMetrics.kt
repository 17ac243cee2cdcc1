package gentiandale.daemon.metrics

import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.KnownServer
import gentiandale.core.VmState
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Gauges computed from the [board] on each scrape. Those of servers are summed by [Group]. */
internal class FleetMetrics(registry: PrometheusRegistry, private val board: Blackboard) {
    /** Labels by which servers are summed; [serves] is the service or the model. */
    private data class Group(val dataCentre: String, val kind: String, val serves: String)

    init {
        gauge(registry, "gentiandale_places", "Request places of backend servers.") { it.facts.places }
        gauge(registry, "gentiandale_places_held", "Places in use, as last reported.") { it.load.running }
        gauge(registry, "gentiandale_queued", "Requests queued in backend servers.") { it.load.queued }
        gauge(registry, "gentiandale_memory_blocks_used", "Blocks of engine memory in use.") { it.load.usedBlocks }
        GaugeWithCallback.builder().name("gentiandale_vms").help("Entry VMs by state.").labelNames("state")
            .callback(::countVms)
            .register(registry)
        GaugeWithCallback.builder().name("gentiandale_configuration_revision").help("Active revision.")
            .callback { it.call(board[Board.CONFIGURATION].configuration.revision.toDouble()) }
            .register(registry)
    }

    private fun gauge(registry: PrometheusRegistry, name: String, help: String, value: (KnownServer) -> Int) {
        GaugeWithCallback.builder().name(name).help(help).labelNames("data_centre", "kind", "serves")
            .callback { callback -> sum(callback, value) }
            .register(registry)
    }

    private fun sum(callback: GaugeWithCallback.Callback, value: (KnownServer) -> Int) {
        board[Board.SERVERS].values.groupBy(::groupOf).forEach { (group, servers) ->
            callback.call(servers.sumOf(value).toDouble(), group.dataCentre, group.kind, group.serves)
        }
    }

    private fun groupOf(server: KnownServer): Group {
        val facts = server.facts
        val serves = facts.service ?: facts.model?.value.orEmpty()
        return Group(facts.dataCentre.value, facts.kind.name.lowercase(), serves)
    }

    private fun countVms(callback: GaugeWithCallback.Callback) {
        val vms = board[Board.VMS].values
        VmState.entries.forEach { state ->
            callback.call(vms.count { it.state == state }.toDouble(), state.name.lowercase())
        }
    }
}
