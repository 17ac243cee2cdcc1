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
import gentiandale.cli.log.LogRecord
import gentiandale.cli.log.LogStory
import gentiandale.cli.log.TimelinePage
import java.io.File
import java.time.Instant

/** Command that reads log lines from files, or from standard input where none is named. */
internal abstract class LogCommand(name: String, private val help: String) : CliktCommand(name) {
    override fun help(context: Context): String = help

    /** Returns the lines of [files]. */
    protected fun story(files: List<File>): LogStory {
        val lines = if (files.isEmpty()) {
            System.`in`.bufferedReader().lineSequence()
        } else {
            files.asSequence().flatMap {
                it.readLines()
            }
        }
        return LogStory(lines)
    }

    /** Prints [records] by time. */
    protected fun print(records: List<LogRecord>) {
        val rows = records.map { listOf(Instant.ofEpochMilli(it.timeMs).toString(), it.vm, it.event, it.detail()) }
        echo(Table(listOf("TIME", "VM", "EVENT", "DETAIL"), rows).render())
    }
}

/** Tells what became of a request from the logs alone. */
internal class RequestStoryCommand : LogCommand(
    "story",
    "Tells what became of a request: every decision about it, and what was believed of the servers that it went to. " +
        "Reads the log lines of one or many processes.",
) {
    private val request by argument(help = "Identifier of the request.")
    private val files by argument(help = "Files with log lines; standard input if none is named.")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val records = story(files).ofRequest(request)
        if (records.isEmpty()) {
            echo("No line tells of $request.", err = true)
            throw ProgramResult(ExitCode.REFUSED)
        }
        print(records)
    }
}

/** Tells what changed in a time, and how requests ended. */
internal class IncidentCommand : LogCommand(
    "incident",
    "Tells what changed between two times: who was lost, what came into force, and how requests ended and why.",
) {
    private val from by argument(help = "Begin in milliseconds since the epoch.").long()
    private val to by argument(help = "End in milliseconds since the epoch.").long()
    private val files by argument(help = "Files with log lines; standard input if none is named.")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val story = story(files)
        print(story.changes(from, to))
        val rows = story.endings(from, to).map { (outcome, reason, count) -> listOf(count.toString(), outcome, reason) }
        echo("\n" + Table(listOf("COUNT", "OUTCOME", "REASON"), rows).render())
    }
}

/** Draws what the logs tell second by second. */
internal class PlotCommand : LogCommand(
    "plot",
    "Draws requests, times, configuration and servers second by second as an HTML page that needs no server. " +
        "Reads the log lines of one or many processes.",
) {
    private val out by option("--out", help = "Page to write.").file(canBeDir = false).required()
    private val files by argument(help = "Files with log lines; standard input if none is named.")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val timeline = story(files).timeline
        if (timeline.seconds == 0) {
            echo("No log line was found.", err = true)
            throw ProgramResult(ExitCode.REFUSED)
        }
        out.writeText(TimelinePage(timeline).render())
        echo("Wrote ${timeline.seconds} s to $out.")
    }
}
