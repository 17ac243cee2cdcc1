package gentiandale.standin.service

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.standin.announce.AnnounceOptions
import gentiandale.standin.fault.FaultOptions
import gentiandale.standin.runUntilStopped

/** Command that runs a stand-in for a plain service. */
internal class ServiceCommand : CliktCommand(name = "service") {
    private val announce by AnnounceOptions()
    private val faults by FaultOptions()
    private val service by option("--service", help = "Name of the service.").required()
    private val places by option("--places", help = "Maximum number of concurrent calls.").int().default(1_000)
    private val workMs by option("--work-ms", help = "Milliseconds that a call takes.").long().default(5)

    override fun help(context: Context): String = "Runs a stand-in for a plain service."

    override fun run() {
        val facts = ServerFacts(
            server = ServerId(announce.name),
            incarnation = Incarnation(System.currentTimeMillis()),
            address = announce.listen,
            dataCentre = DataCentreId(announce.dataCentre),
            kind = ServerKind.PLAIN,
            service = service,
            places = places,
        )
        ServiceStandin(facts, announce.schedule(), workMs, faults.plan()).runUntilStopped(announce.leaveGraceMs)
    }
}
