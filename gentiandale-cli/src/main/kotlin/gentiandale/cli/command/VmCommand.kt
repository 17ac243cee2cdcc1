package gentiandale.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.options.OptionDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.long
import gentiandale.cli.ExitCode
import gentiandale.cli.OutputFormat
import gentiandale.cli.Table
import gentiandale.cli.client.ProblemBody
import gentiandale.cli.client.Reply
import gentiandale.cli.client.VmClient
import gentiandale.cli.render
import gentiandale.core.Address
import gentiandale.core.Checked
import gentiandale.core.Finding
import kotlinx.serialization.KSerializer
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Options given before the subcommand; those given after the subcommand take precedence. */
internal data class CommonOptions(val vm: Address?, val output: OutputFormat?)

/** Declares `--vm`, accepted before and after the subcommand. */
internal fun CliktCommand.vmOption(): OptionDelegate<Address?> =
    option("--vm", envvar = "GENTIAN_VM", help = "Entry VM as host:port; default is GENTIAN_VM.")
        .convert { Address.parse(it) ?: fail("'$it' is not of the form host:port.") }

/** Declares `--output`, accepted before and after the subcommand. */
internal fun CliktCommand.outputOption(): OptionDelegate<OutputFormat?> =
    option("--output", "-o", help = "Output format.").enum<OutputFormat> { it.name.lowercase() }

/** Base of subcommands that call an entry VM. */
internal abstract class VmCommand(name: String, private val help: String) : CliktCommand(name) {
    private val common by requireObject<CommonOptions>()
    private val vm by vmOption()
    private val output by outputOption()
    private val timeoutMs by option("--timeout-ms", help = "Time limit for an answer.").long().default(15_000)

    override fun help(context: Context): String = help

    /** Format in which answers are printed; a table by default. */
    protected val format: OutputFormat get() = output ?: common.output ?: OutputFormat.TABLE

    /** Runs [call] and returns its value, or exits; with [ExitCode.NOT_REACHABLE] if it got no usable answer. */
    protected fun <T> callOrExit(call: (VmClient) -> Reply<T>): T = when (val reply = callVm(call)) {
        is Reply.Ok -> reply.value
        is Reply.Refused -> exitRefused(reply.problem)
        is Reply.NotReachable -> exit(ExitCode.NOT_REACHABLE, "Entry VM not reachable: ${reply.detail}")
        is Reply.OutcomeUnknown -> exit(ExitCode.NOT_REACHABLE, "No usable answer from the entry VM: ${reply.detail}")
    }

    /** Runs [call] with a client of the chosen entry VM. */
    protected fun <T> callVm(call: (VmClient) -> Reply<T>): Reply<T> {
        val address = vm ?: common.vm
            ?: throw UsageError(
                "No entry VM given: pass --vm host:port or set GENTIAN_VM.",
                statusCode = ExitCode.BAD_INPUT,
            )
        return VmClient(address, timeoutMs).use(call)
    }

    /** Prints [value] in [format], with [tables] as its table format. */
    protected fun <T> show(value: T, serializer: KSerializer<T>, vararg tables: Table) {
        echo(format.render(value, serializer) { tables.toList() })
    }

    /** Prints [problem] with its findings and exits with [ExitCode.REFUSED]. */
    protected fun exitRefused(problem: ProblemBody): Nothing {
        problem.findings.forEach { echo(it, err = true) }
        val retryHint = problem.retryAfterMs?.let { " Try again in $it ms." }.orEmpty()
        exit(ExitCode.REFUSED, "Refused (${problem.reason}): ${problem.detail}$retryHint")
    }

    /** Prints [message] and exits with [code]. */
    protected fun exit(code: Int, message: String): Nothing {
        echo(message, err = true)
        throw ProgramResult(code)
    }

    /** Parses [file] with [read], or prints the findings and exits with [ExitCode.BAD_INPUT]. */
    protected fun <T> readInput(file: Path, read: (String, String) -> Checked<T>): T {
        val text = try {
            file.readText()
        } catch (e: IOException) {
            exit(ExitCode.BAD_INPUT, "Cannot read $file: ${e.message}")
        }
        return when (val checked = read(file.toString(), text)) {
            is Checked.Valid -> checked.value
            is Checked.Invalid -> {
                printFindings(checked.findings)
                throw ProgramResult(ExitCode.BAD_INPUT)
            }
        }
    }

    /** Prints [findings] to standard error, one per line. */
    protected fun printFindings(findings: List<Finding>) = findings.forEach { echo(it, err = true) }
}
