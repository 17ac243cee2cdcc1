package gentiandale.bench.policy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import gentiandale.route.JointPolicy
import java.util.Locale

/** Measures the duration of the calls to [JointPolicy] by number of servers and load. */
internal class DecisionBench : CliktCommand(name = "decision") {
    override fun help(context: Context): String = "Measures how long a routing decision takes."

    override fun run() {
        echo("| servers | load | call | mean us | 99 % us |\n| --- | --- | --- | --- | --- |")
        for (servers in SERVERS) {
            for (offeredLoad in OFFERED_LOADS) {
                measure(servers, offeredLoad)
                val times = measure(servers, offeredLoad)
                CallKind.entries.forEach { echo(row(servers, offeredLoad, it, times)) }
            }
        }
    }

    private fun measure(servers: Int, offeredLoad: Double): CallTimes {
        val scenario = scenario("decision", servers) {
            load = offeredLoad
            measuredMs = MEASURED_MS
        }
        return FleetSimulation(scenario, seed = 1, JointPolicy()).run().callTimes
    }

    private fun row(servers: Int, offeredLoad: Double, kind: CallKind, times: CallTimes): String {
        val mean = "%.1f".format(Locale.ROOT, times.meanMicros(kind))
        val p99 = "%.1f".format(Locale.ROOT, times.p99Micros(kind))
        return "| $servers | $offeredLoad | ${kind.name.lowercase()} | $mean | $p99 |"
    }

    private companion object {
        val SERVERS = listOf(12, 64, 200, 675)
        val OFFERED_LOADS = listOf(0.7, 1.0, 1.3)
        const val MEASURED_MS = 8_000.0
    }
}
