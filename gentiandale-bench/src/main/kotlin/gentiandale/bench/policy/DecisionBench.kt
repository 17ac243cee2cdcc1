package gentiandale.bench.policy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import gentiandale.route.JointPolicy
import java.util.Locale

/** Measures how long the joint policy's calls take, and how that grows with the number of servers. */
internal class DecisionBench : CliktCommand(name = "decision") {
    override fun help(context: Context): String = "Measures the time of a routing decision."

    override fun run() {
        echo("| servers | load | call | mean us | 99 % us |\n| --- | --- | --- | --- | --- |")
        for (servers in SERVERS) {
            for (part in LOADS) {
                measure(servers, part)
                val times = measure(servers, part)
                CallKind.entries.forEach { echo(row(servers, part, it, times)) }
            }
        }
    }

    private fun measure(servers: Int, part: Double): CallTimes {
        val scenario = scenario("decision", servers) {
            load = part
            measuredMs = MEASURED_MS
        }
        return FleetSimulation(scenario, seed = 1, JointPolicy()).run().callTimes
    }

    private fun row(servers: Int, part: Double, kind: CallKind, times: CallTimes): String {
        val mean = "%.1f".format(Locale.ROOT, times.meanMicros(kind))
        val p99 = "%.1f".format(Locale.ROOT, times.p99Micros(kind))
        return "| $servers | $part | ${kind.name.lowercase()} | $mean | $p99 |"
    }

    private companion object {
        val SERVERS = listOf(12, 64, 200, 675)
        val LOADS = listOf(0.7, 1.0, 1.3)
        const val MEASURED_MS = 8_000.0
    }
}
