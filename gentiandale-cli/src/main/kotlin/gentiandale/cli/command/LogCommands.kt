package gentiandale.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import gentiandale.cli.ExitCode
import gentiandale.cli.Table
import gentiandale.cli.log.LogAnalysis
import gentiandale.cli.log.LogRecord
import gentiandale.cli.log.TimelinePage
import java.io.File
import java.time.Instant

/** Command that reads log lines from files, or from standard input if no file is given. */
internal abstract class LogCommand(name: String, private val help: String) : CliktCommand(name) {
    override fun help(context: Context): String = help

    /** Parses the log lines of [files], or of standard input if [files] is empty. */
    protected fun readLogs(files: List<File>): LogAnalysis {
        val lines = if (files.isEmpty()) {
            System.`in`.bufferedReader().lineSequence()
        } else {
            files.asSequence().flatMap {
                it.readLines()
            }
        }
        return LogAnalysis(lines)
    }

    /** Prints [records] as a table, in the given order. */
    protected fun printRecords(records: List<LogRecord>) {
        val rows = records.map { listOf(Instant.ofEpochMilli(it.timeMs).toString(), it.vm, it.event, it.detail()) }
        echo(Table(listOf("TIME", "VM", "EVENT", "DETAIL"), rows).render())
    }
}

/** Shows the course of a request from the logs alone, without a call to a VM. */
internal class RequestTraceCommand : LogCommand(
    "story",
    "Shows the course of a request: every decision about it, and the last known state of the servers it was sent to. " +
        "Reads the log lines of one or more processes.",
) {
    private val request by argument(help = "Request identifier.")
    private val files by argument(help = "Files with log lines; standard input if omitted.")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val records = readLogs(files).requestTrace(request)
        if (records.isEmpty()) {
            echo("No log line found for request $request.", err = true)
            throw ProgramResult(ExitCode.REFUSED)
        }
        printRecords(records)
    }
}

/** Shows fleet changes and request outcomes within a time range. */
internal class IncidentCommand : LogCommand(
    "incident",
    "Shows what changed between two times: lost VMs and servers, new configurations, and request outcomes by reason.",
) {
    private val from by argument(help = "Start of the range in milliseconds since the epoch.").long()
    private val to by argument(help = "End of the range in milliseconds since the epoch.").long()
    private val files by argument(help = "Files with log lines; standard input if omitted.")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val logs = readLogs(files)
        printRecords(logs.changes(from, to))
        val rows = logs.outcomes(from, to).map { (outcome, reason, count) -> listOf(count.toString(), outcome, reason) }
        echo("\n" + Table(listOf("COUNT", "OUTCOME", "REASON"), rows).render())
    }
}

/** Writes an HTML page with plots of the logs, one value per second. */
internal class PlotCommand : LogCommand(
    "plot",
    "Plots requests, response times, configuration and servers per second into a self-contained HTML page. " +
        "Reads the log lines of one or more processes.",
) {
    private val out by option("--out", help = "HTML file to write.").file(canBeDir = false).required()
    private val files by argument(help = "Files with log lines; standard input if omitted.")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val timeline = readLogs(files).timeline
        if (timeline.seconds == 0) {
            echo("The input contains no structured log line.", err = true)
            throw ProgramResult(ExitCode.REFUSED)
        }
        out.writeText(TimelinePage(timeline).render())
        echo("Wrote a timeline of ${timeline.seconds} s to $out.")
    }
}
