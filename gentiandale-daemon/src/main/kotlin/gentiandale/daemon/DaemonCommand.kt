package gentiandale.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import gentiandale.core.Checked
import gentiandale.daemon.logs.setUpLogs
import gentiandale.daemon.settings.Settings
import gentiandale.daemon.settings.readSettings
import java.io.IOException

private const val EXIT_BAD_SETTINGS = 2

/** Command line interface of the daemon. */
internal class DaemonCommand : CliktCommand(name = "gentiandaled") {
    private val config by option("--config", help = "Settings file in YAML.").path().required()
    private val check by option("--check", help = "Checks the settings file and exits.").flag()

    override fun help(context: Context): String = "Runs a gentiandale entry VM."

    override fun run() {
        when (val settings = readSettings(config)) {
            is Checked.Invalid -> {
                settings.findings.forEach { echo(it, err = true) }
                throw ProgramResult(EXIT_BAD_SETTINGS)
            }
            is Checked.Valid -> if (check) echo("$config is valid.") else serve(settings.value)
        }
    }

    private fun serve(settings: Settings) {
        setUpLogs(settings.logs.format, settings.vm)
        val vm = try {
            EntryVm(settings)
        } catch (e: IOException) {
            throw CliktError(e.message)
        }
        runUntilStopped(vm)
    }
}

/** Starts the daemon. */
public fun main(args: Array<String>) {
    DaemonCommand().main(args)
}
