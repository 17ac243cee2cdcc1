package gentiandale.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import gentiandale.bench.state.VoterGroup
import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.VmId
import gentiandale.state.RecordDraft
import gentiandale.state.StoreCommand
import gentiandale.state.StoreReply
import gentiandale.state.SubmitOutcome
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.ConcurrentHistogram
import java.nio.file.Files
import java.util.Locale
import kotlin.system.measureNanoTime

/**
 * Measures the replicated store of three voters on loopback with real files: changes per second, restart time, idle
 * traffic and election time.
 */
internal class StateBench : CliktCommand(name = "state") {
    private val changes by option("--changes", help = "Total number of changes to submit.").int().default(10_000)
    private val operators by option("--operators", help = "Number of concurrent operators.").int().default(64)
    private val tries by option("--tries", help = "Number of elections per kind of interruption.").int().default(20)

    override fun help(context: Context): String = "Measures the replicated store with three voters on loopback."

    override fun run(): Unit = runBlocking(Dispatchers.Default) {
        val base = Files.createTempDirectory("gentiandale-state")
        VoterGroup(base, VOTERS).use {
            it.startAll()
            it.awaitLeader()
            measureChanges(it, 1, changes / SINGLE_OPERATOR_DIVISOR)
            measureChanges(it, operators, changes - changes / SINGLE_OPERATOR_DIVISOR)
            measureRestart(it)
            measureIdle(it)
            measureElections(it, "leader stopped", it::stop, it::start)
            measureElections(it, "leader's links cut", it::isolate, it::reconnect)
        }
        base.toFile().deleteRecursively()
    }

    private suspend fun measureChanges(group: VoterGroup, concurrency: Int, count: Int) {
        val times = ConcurrentHistogram(MAX_MICROS, DIGITS)
        val nanos = measureNanoTime {
            runBlocking(Dispatchers.Default) {
                (0 until concurrency).map {
                    launch { submitChanges(group, "r$concurrency-$it", count / concurrency, times) }
                }.joinAll()
            }
        }
        val rate = (count / concurrency * concurrency).toDouble() / nanos * NANOS_PER_SECOND
        echo("$concurrency operators: ${formatRate(rate)} changes/s; ${percentiles(times, "us")}")
    }

    private suspend fun submitChanges(group: VoterGroup, name: String, count: Int, times: ConcurrentHistogram) {
        repeat(count) { i ->
            val draft = RecordDraft(RecordId("model", name), 1, i.toLong(), "kv-bytes-per-token: ${i + 1}")
            val command = StoreCommand.ApplyRecords(OperationKey("$name-$i"), listOf(draft), 0)
            val nanos = measureNanoTime {
                val outcome = group.stores[i % group.stores.size].submit(command, TIMEOUT_MS)
                check((outcome as? SubmitOutcome.Done)?.reply is StoreReply.Accepted) {
                    "Change $i of $name was not accepted: $outcome"
                }
            }
            times.recordValue(nanos / NANOS_PER_MICRO)
        }
    }

    private suspend fun measureRestart(group: VoterGroup) {
        val revision = group.stores.maxOf { it.configuration.value.revision }
        group.close()
        val openNanos = measureNanoTime { group.startAll() }
        val applyNanos = measureNanoTime {
            runBlocking {
                group.await<Boolean> { group.stores.all { it.configuration.value.revision == revision }.takeIf { it } }
            }
        }
        val openMs = openNanos / NANOS_PER_MS
        val totalMs = (openNanos + applyNanos) / NANOS_PER_MS
        echo("restart after $revision changes: three logs read in $openMs ms, all applied after $totalMs ms")
    }

    private suspend fun measureIdle(group: VoterGroup) {
        val leader = group.awaitLeader()
        delay(IDLE_MS / 2)
        val before = group.bytesSent
        delay(IDLE_MS)
        group.bytesSent.forEach { (vm, bytes) ->
            val rate = (bytes - before.getValue(vm)) * MS_PER_SECOND / IDLE_MS
            echo("idle ${if (vm == leader) "leader" else "follower"}: $rate bytes/s sent")
        }
    }

    private suspend fun measureElections(
        group: VoterGroup,
        interruption: String,
        interrupt: (VmId) -> Unit,
        restore: (VmId) -> Unit,
    ) {
        val times = ConcurrentHistogram(MAX_MICROS, DIGITS)
        repeat(tries) {
            val previous = group.awaitLeader()
            delay(SETTLE_MS)
            val nanos = measureNanoTime {
                interrupt(previous)
                group.awaitLeader(previous)
            }
            times.recordValue(nanos / NANOS_PER_MS)
            restore(previous)
            delay(SETTLE_MS)
        }
        echo("new leader after $interruption: ${percentiles(times, "ms")} over $tries tries")
    }

    private fun percentiles(times: ConcurrentHistogram, unit: String) =
        "median ${times.getValueAtPercentile(MEDIAN)} $unit, 99 % ${times.getValueAtPercentile(P99)} $unit, " +
            "worst ${times.maxValue} $unit"

    private fun formatRate(rate: Double) = "%.0f".format(Locale.ROOT, rate)

    private companion object {
        const val VOTERS = 3
        const val SINGLE_OPERATOR_DIVISOR = 10
        const val TIMEOUT_MS = 10_000L
        const val IDLE_MS = 5_000L
        const val SETTLE_MS = 600L
        const val MAX_MICROS = 60_000_000L
        const val DIGITS = 3
        const val MEDIAN = 50.0
        const val P99 = 99.0
        const val NANOS_PER_MICRO = 1_000L
        const val NANOS_PER_MS = 1_000_000L
        const val NANOS_PER_SECOND = 1e9
        const val MS_PER_SECOND = 1_000L
    }
}
