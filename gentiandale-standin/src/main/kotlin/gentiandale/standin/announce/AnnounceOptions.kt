package gentiandale.standin.announce

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import gentiandale.core.Address

/** Command-line options of every backend stand-in: its identity, and the entry VMs to which it announces itself. */
internal class AnnounceOptions : OptionGroup("Backend server") {
    val name by option("--name", help = "Name of the server.").required()
    val dataCentre by option("--data-centre", help = "Data centre of the server.").required()
    val listen by option("--listen", help = "host:port to listen on.")
        .convert { Address.parse(it) ?: fail("'$it' is not host:port.") }
        .required()
    private val vms by option("--announce-to", help = "host:port of an entry VM; may be repeated.")
        .convert { Address.parse(it) ?: fail("'$it' is not host:port.") }
        .multiple(required = true)
    private val periodMs by option("--report-ms", help = "Milliseconds between two reports.").long().default(500)
    private val lagMs by option("--report-lag-ms", help = "Milliseconds by which reports lag.").long().default(0)
    val leaveGraceMs by option("--leave-grace-ms", help = "Grace period for running requests after a stop signal.")
        .long()
        .default(10_000)

    /** Builds the [ReportSchedule] that the options describe. */
    fun schedule(): ReportSchedule = ReportSchedule(vms, periodMs, lagMs)
}
