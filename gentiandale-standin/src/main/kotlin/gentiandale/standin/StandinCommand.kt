package gentiandale.standin

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import gentiandale.standin.engine.EngineCommand
import gentiandale.standin.load.LoadCommand
import gentiandale.standin.service.ServiceCommand

/** Root command of `gentian-standin`. */
internal class StandinCommand : CliktCommand(name = "gentian-standin") {
    override fun help(context: Context): String = "Runs a stand-in for a backend server or a caller."

    override fun run(): Unit = Unit
}

/** Runs the `gentian-standin` command line. */
public fun main(args: Array<String>) {
    StandinCommand().subcommands(EngineCommand(), ServiceCommand(), LoadCommand()).main(args)
}
