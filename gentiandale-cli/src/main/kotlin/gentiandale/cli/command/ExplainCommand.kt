package gentiandale.cli.command

import com.github.ajalt.clikt.parameters.arguments.argument
import gentiandale.cli.Table
import gentiandale.cli.client.Explanation
import java.time.Instant

/** Shows the routing decisions that a VM made about a request. */
internal class ExplainCommand : VmCommand(
    "explain",
    "Shows the decisions about a request, in order: why each server was chosen, or why the request was refused. " +
        "Ask the VM that received the request; decisions are kept for a limited time.",
) {
    private val request by argument(help = "Request identifier, from the answer or its x-request-id header.")

    override fun run() {
        val explanation = callOrExit { it.get("/v1/requests/${urlEncoded(request)}", Explanation.serializer()) }
        val rows = explanation.events.map { listOf(Instant.ofEpochMilli(it.atMs).toString(), it.vm.value, it.text) }
        show(explanation, Explanation.serializer(), Table(listOf("TIME", "VM", "DECISION"), rows))
    }
}
