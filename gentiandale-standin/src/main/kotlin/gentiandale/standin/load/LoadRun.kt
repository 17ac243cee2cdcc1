package gentiandale.standin.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Sends a load in an open loop, without waiting for answers between arrivals, and reports the results.
 *
 * @param onBegin called after the warm-up, when arrivals begin.
 */
public class LoadRun(private val options: LoadOptions, private val onBegin: () -> Unit = {}) {
    /** Runs the load. Requests without a result [LoadOptions.answerLimitMs] after the last arrival count as open. */
    public suspend fun run(): LoadReport {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        return LoadClient(options.model, options.direct).use { client ->
            val plan = LoadPlan(options).requests()
            client.warmUp(options.targets)
            onBegin()
            val results = send(plan, scope, client)
            withTimeoutOrNull(options.answerLimitMs) { results.joinAll() }
            val samples = plan.zip(results) { planned, result -> LoadSample(planned, resultOf(result)) }
            scope.cancel()
            LoadSummary(options).report(samples)
        }
    }

    private suspend fun send(
        plan: List<PlannedRequest>,
        scope: CoroutineScope,
        client: LoadClient,
    ): List<Deferred<CallResult>> {
        val start = System.nanoTime()
        return plan.map { planned ->
            val waitMs = planned.atMs - (System.nanoTime() - start) / NANOS_PER_MS
            if (waitMs >= 1) delay(waitMs.toLong())
            scope.async { client.call(planned) }
        }
    }

    private fun resultOf(result: Deferred<CallResult>): CallResult {
        val done = result.isCompleted && !result.isCancelled
        return if (done) result.getCompleted() else CallResult.Open
    }

    private companion object {
        const val NANOS_PER_MS = 1e6
    }
}
