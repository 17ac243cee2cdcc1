package gentiandale.cli.command

import gentiandale.cli.Table
import gentiandale.core.KnownVm
import gentiandale.core.operator.ServerStatus
import gentiandale.core.operator.Status

/** Shows the view that a VM has of the fleet. */
internal class StatusCommand : VmCommand(
    "status",
    "Shows the fleet as the VM sees it: VMs, backend servers with their load and places, leases and orders.",
) {
    override fun run() {
        val status = callOrExit { it.get("/v1/status", Status.serializer()) }
        show(status, Status.serializer(), queriedVm(status), vms(status), servers(status), cells(status))
    }

    private fun queriedVm(status: Status) = Table(
        listOf("VM", "REVISION", "CONFIRMED MS AGO", "DRAINING"),
        listOf(
            listOf(
                status.vm.value,
                status.revision.toString(),
                status.confirmedMsAgo?.toString() ?: "never",
                status.draining.toString(),
            ),
        ),
    )

    private fun vms(status: Status) =
        Table(listOf("KNOWN VM", "DATA CENTRE", "HTTP", "STATE", "VOTER"), status.vms.map(::row))

    private fun row(vm: KnownVm) = listOf(
        vm.vm.value,
        vm.dataCentre.value,
        vm.http.toString(),
        vm.state.name.lowercase(),
        vm.voter.toString(),
    )

    private fun servers(status: Status) = Table(
        listOf(
            "SERVER",
            "DATA CENTRE",
            "KIND",
            "SERVES",
            "RUNNING",
            "QUEUED",
            "PLACES",
            "BLOCKS",
            "SEEN MS AGO",
            "LEAVING",
        ),
        status.servers.map(::row),
    )

    private fun row(server: ServerStatus): List<String> {
        val facts = server.facts
        return listOf(
            facts.server.value,
            facts.dataCentre.value,
            facts.kind.name.lowercase(),
            facts.service ?: listOfNotNull(facts.model?.value, facts.version).joinToString(" "),
            server.load.running.toString(),
            server.load.queued.toString(),
            facts.places.toString(),
            "${server.load.usedBlocks}/${facts.memoryBlocks}",
            server.seenMsAgo.toString(),
            facts.leaving.toString(),
        )
    }

    private fun cells(status: Status) =
        Table(listOf("CELL", "VALUE"), status.cells.map { (name, value) -> listOf(name, value) })
}
