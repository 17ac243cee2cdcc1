package gentiandale.cli

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import gentiandale.cli.command.ApplyCommand
import gentiandale.cli.command.CommonOptions
import gentiandale.cli.command.DiffCommand
import gentiandale.cli.command.DrainCommand
import gentiandale.cli.command.ExplainCommand
import gentiandale.cli.command.GetCommand
import gentiandale.cli.command.HistoryCommand
import gentiandale.cli.command.IncidentCommand
import gentiandale.cli.command.PlotCommand
import gentiandale.cli.command.RequestTraceCommand
import gentiandale.cli.command.StatusCommand
import gentiandale.cli.command.VotersCommand
import gentiandale.cli.command.outputOption
import gentiandale.cli.command.vmOption
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import kotlin.system.exitProcess

/** Root command of `gentianctl`, the command-line tool for operators. */
internal class ControlCommand : CliktCommand(name = "gentianctl") {
    private val vm by vmOption()
    private val output by outputOption()

    init {
        completionOption()
        subcommands(
            ApplyCommand(),
            GetCommand(),
            DiffCommand(),
            HistoryCommand(),
            StatusCommand(),
            ExplainCommand(),
            DrainCommand(),
            VotersCommand(),
            RequestTraceCommand(),
            IncidentCommand(),
            PlotCommand(),
        )
    }

    override fun help(context: Context): String = "Operates a gentiandale fleet through one of its entry VMs."

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 success; 1 refused, nothing was changed; 2 invalid input, nothing was sent; 3 not reachable, " +
            "nothing was changed; 4 outcome unknown, retry with the same key."

    override fun run() {
        currentContext.obj = CommonOptions(vm, output)
    }
}

/** Turns off the logging of libraries, whose lines would mix with the output of the tool. */
private fun disableLibraryLogging() {
    val logs = LoggerFactory.getILoggerFactory() as LoggerContext
    logs.getLogger(Logger.ROOT_LOGGER_NAME).level = Level.OFF
}

/** Runs `gentianctl` with [args] and exits with the code of the result. */
public fun main(args: Array<String>) {
    disableLibraryLogging()
    val command = ControlCommand()
    try {
        command.parse(args.toList())
    } catch (e: UsageError) {
        command.echoFormattedHelp(e)
        exitProcess(ExitCode.BAD_INPUT)
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        exitProcess(e.statusCode)
    }
    exitProcess(0)
}
