package gentiandale.cli.command

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import gentiandale.cli.client.DrainRequest
import kotlinx.serialization.Serializable

/** Answer of `POST /v1/drain`; the tool ignores its fields. */
@Serializable
internal class DrainResponse

/** Starts the graceful shutdown of a VM, which finishes its running requests first. */
internal class DrainCommand : VmCommand(
    "drain",
    "Shuts the VM down gracefully: it reports not ready, finishes its requests and exits. Returns once it is draining.",
) {
    private val limitMs by option("--limit-ms", help = "Time limit for running requests; 0 for no limit.")
        .long()
        .restrictTo(min = 0)
        .default(0)

    override fun run() {
        callOrExit {
            it.post("/v1/drain", DrainRequest.serializer(), DrainRequest(limitMs), DrainResponse.serializer())
        }
        echo("The VM is draining. Watch its readiness at /readyz and its requests with 'gentianctl status'.")
    }
}
