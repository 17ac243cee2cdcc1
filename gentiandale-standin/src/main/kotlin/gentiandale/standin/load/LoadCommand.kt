package gentiandale.standin.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import gentiandale.core.Address
import gentiandale.core.RankId
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlin.io.path.writeText

/** Command that sends a bounded open-loop load to entry VMs and writes a JSON report. */
internal class LoadCommand : CliktCommand(name = "load") {
    private val targets by option("--vm", help = "host:port of an entry VM; may be repeated.")
        .convert { address(it) ?: fail("'$it' is not host:port.") }
        .multiple(required = true)
    private val model by option("--model").default("chat-small")
    private val seed by option("--seed").long().default(1)
    private val rate by option("--rate", help = "Mean arrivals per second.").double().restrictTo(MIN_RATE, MAX_RATE)
        .default(20.0)
    private val ranks by option("--rank", metavar = "name=weight", help = "Weight of a rank; may be repeated.")
        .convert { weight(it) ?: fail("'$it' is not name=weight.") }
        .multiple(default = listOf(RankWeight(RankId("urgent"), 0.3), RankWeight(RankId("routine"), 0.7)))
    private val promptTokens by option("--prompt-tokens", metavar = "min-max")
        .convert { range(it) ?: fail("'$it' is not min-max.") }
        .default(100..2_000)
    private val maxTokens by option("--max-tokens", metavar = "min-max")
        .convert { range(it) ?: fail("'$it' is not min-max.") }
        .default(16..64)
    private val firstTokenMs by option("--first-token-ms", help = "Target in ms.").long().default(660)
    private val betweenTokensMs by option("--between-tokens-ms", help = "Target in ms.").long().default(77)
    private val seconds by option("--seconds", help = "Seconds of load.").int().restrictTo(1..MAX_SECONDS).default(10)
    private val maxRequests by option("--max-requests").int().restrictTo(1..MAX_REQUESTS).default(10_000)
    private val answerLimitMs by option("--answer-limit-ms", help = "Wait for the last answers, in ms.").long()
        .restrictTo(0L..MAX_ANSWER_LIMIT_MS)
        .default(30_000)
    private val directPrefill by option("--direct-prefill", help = "host:port of a prefill engine for the baseline.")
    private val directDecode by option("--direct-decode", help = "host:port of a decode engine for the baseline.")
    private val directRate by option("--direct-rate", help = "Direct calls per second.").double()
        .restrictTo(MIN_RATE, MAX_RATE)
        .default(5.0)
    private val minAnswered by option(
        "--min-answered",
        help = "Minimum share of answered requests; exits with 1 below it.",
    )
        .double()
        .restrictTo(0.0, 1.0)
        .default(0.0)
    private val reportFile by option("--report", help = "File for the report; default: standard output.").path()

    override fun help(context: Context): String =
        "Sends an open-loop load and reports latency, goodput and refusals as JSON."

    override fun run() {
        val run = LoadRun(options()) { echo("The load begins.", err = true) }
        val report = runBlocking { run.run() }
        val text = json.encodeToString(LoadReport.serializer(), report)
        reportFile?.writeText(text) ?: echo(text)
        if (reportFile != null) report.byVm.forEach { (vm, group) -> echo("$vm: ${summaryOf(group)}") }
        if (report.total.answered < report.total.offered * minAnswered) throw ProgramResult(1)
    }

    private fun summaryOf(group: GroupReport): String = with(group) {
        "$offered offered, $answered answered, $refused refused, $cut cut, $wrong wrong, $unreachable unreachable, " +
            "$open open"
    }

    private fun options() = LoadOptions(
        targets = targets,
        model = model,
        seed = seed,
        arrivalsPerSecond = rate,
        ranks = ranks,
        promptTokens = promptTokens,
        maxTokens = maxTokens,
        latency = LatencyTargets(firstTokenMs, betweenTokensMs),
        durationMs = seconds * MS_PER_SECOND,
        maxRequests = maxRequests,
        answerLimitMs = answerLimitMs,
        direct = baseline(),
    )

    private fun baseline(): DirectBaseline? {
        if (directPrefill == null && directDecode == null) return null
        val prefill = directPrefill?.let(::address)
        val decode = directDecode?.let(::address)
        if (prefill == null || decode == null) {
            throw UsageError("A direct baseline needs both --direct-prefill and --direct-decode, each as host:port.")
        }
        return DirectBaseline(prefill, decode, directRate)
    }

    private fun address(text: String): Address? = Address.parse(text)

    private fun weight(text: String): RankWeight? {
        val weight = text.substringAfter('=', "").toDoubleOrNull()?.takeIf { it > 0 } ?: return null
        return RankWeight(RankId(text.substringBefore('=')), weight)
    }

    private fun range(text: String): IntRange? {
        val first = text.substringBefore('-').toIntOrNull() ?: return null
        val last = text.substringAfter('-').toIntOrNull() ?: return null
        return (first..last).takeIf { first in 1..last }
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
        const val MIN_RATE = 0.1
        const val MAX_RATE = 10_000.0
        const val MAX_SECONDS = 3_600
        const val MAX_REQUESTS = 1_000_000
        const val MAX_ANSWER_LIMIT_MS = 600_000L
        val json = Json { prettyPrint = true }
    }
}
