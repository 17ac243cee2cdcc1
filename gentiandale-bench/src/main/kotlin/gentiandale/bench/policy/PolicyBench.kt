package gentiandale.bench.policy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import gentiandale.route.BaselinePolicy
import gentiandale.route.JointPolicy
import gentiandale.route.RoutingPolicy
import gentiandale.route.policySettings

/** Compares the policies in the standard scenarios, with the same arrivals for each policy. */
internal class PolicyBench : CliktCommand(name = "policy") {
    private val servers by option(help = "Number of engines in the fleet.").int().default(DEFAULT_SERVERS)
    private val seeds by option(help = "Number of seeds per scenario, from 1 on.").int().default(DEFAULT_SEEDS)
    private val only by option(help = "Name of the only scenario to run.")
    private val seed by option(help = "Seed of the joint policy's random choices.").long().default(1)
    private val overlap by option(help = "Count places that will be free before the prefill ends.").flag()
    private val preemption by option(help = "Let urgent requests preempt routine requests.").flag()
    private val window by option(help = "Requests assigned to a prefill server at a time.").int().default(1)

    private val jointOnly by option(help = "Skip the baseline policy.").flag()

    private val headroom by option(help = "Milliseconds of urgent arrivals to keep places free for.").int().default(250)
    private val margin by option(
        help = "Percent of the first-token target that a predicted time may use.",
    ).int().default(95)

    private val queue by option(
        help = "Percent of that target that a predicted time may use when a request is queued.",
    ).int().default(50)

    override fun help(context: Context): String = "Compares the routing policies in virtual time."

    override fun run() {
        echo(ResultRow.HEADER)
        for (scenario in standardScenarios(servers).filter { only == null || it.name == only }) {
            if (!jointOnly) compare(scenario, "baseline") { BaselinePolicy() }
            compare(scenario, "joint") { jointPolicy() }
        }
    }

    private fun jointPolicy() = JointPolicy(
        policySettings {
            seed = this@PolicyBench.seed
            overlap = this@PolicyBench.overlap
            preemption = this@PolicyBench.preemption
            prefillWindow = window
            headroomMs = headroom.toDouble()
            queueMargin = queue / 100.0
            targetMargin = margin / 100.0
        },
    )

    private fun compare(scenario: Scenario, name: String, policy: () -> RoutingPolicy) {
        val results = (1L..seeds).map { FleetSimulation(scenario, it, policy()).run() }
        echo(ResultRow(scenario, name, results))
    }

    private companion object {
        const val DEFAULT_SERVERS = 12
        const val DEFAULT_SEEDS = 5
    }
}
