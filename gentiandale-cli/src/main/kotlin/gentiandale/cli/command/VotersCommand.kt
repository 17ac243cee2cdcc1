package gentiandale.cli.command

import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import gentiandale.cli.ExitCode
import gentiandale.cli.Table
import gentiandale.cli.client.Reply
import gentiandale.cli.client.Voters
import gentiandale.cli.client.VotersChange
import gentiandale.core.VmId

/** Adds or removes a voter of the replicated state, one VM at a time. */
internal class VotersCommand : VmCommand(
    "voters",
    "Adds or removes one voter. To replace a VM that lost its disk, remove it first, then add it with its new folder.",
) {
    private val add by option("--add", help = "VM to add as a voter.").convert { VmId(it) }
    private val remove by option("--remove", help = "VM to remove from the voters.").convert { VmId(it) }

    override fun run() {
        if ((add == null) == (remove == null)) exit(ExitCode.BAD_INPUT, "Pass exactly one of --add VM and --remove VM.")
        when (val reply = callVm { it.post("/v1/voters", VotersChange.serializer(), request(), Voters.serializer()) }) {
            is Reply.Ok -> printVoters(reply.value)
            is Reply.Refused -> exitRefused(reply.problem)
            is Reply.NotReachable -> exit(
                ExitCode.NOT_REACHABLE,
                "Entry VM not reachable, nothing was changed: ${reply.detail}",
            )
            is Reply.OutcomeUnknown -> exit(
                ExitCode.OUTCOME_UNKNOWN,
                "Unknown whether the change was accepted: ${reply.detail}",
            )
        }
    }

    private fun request() = VotersChange(add, remove)

    private fun printVoters(voters: Voters) {
        val rows = voters.voters.map { listOf(it.vm.value, it.folder) }
        show(voters, Voters.serializer(), Table(listOf("VOTER", "FOLDER"), rows))
    }
}
