package gentiandale.daemon.request

import gentiandale.core.Blackboard
import gentiandale.core.Clock
import gentiandale.daemon.engine.EngineClient
import gentiandale.route.RetryBudget
import kotlinx.coroutines.CoroutineScope

/** Components of one VM that its [RequestRun]s share. */
internal class RequestDependencies(
    val dispatcher: Dispatcher,
    val engines: EngineClient,
    val board: Blackboard,
    val clock: Clock,
    val scope: CoroutineScope,
    val journal: RequestJournal,
    val limits: StepLimits = StepLimits(),
    val budget: RetryBudget = retryBudget(),
    val counters: AnswerAnomalyCounters = AnswerAnomalyCounters(),
) {
    /** Queue of cancels that engines have not confirmed yet. */
    val cancels = CancelQueue(scope, clock) { target, request -> engines.cancel(target.address, request) }
}

/** Returns a new retry budget. Each kind of call has a budget of its own. */
internal fun retryBudget(): RetryBudget = RetryBudget(RETRY_SHARE, RETRY_BURST)

private const val RETRY_SHARE = 0.2
private const val RETRY_BURST = 100.0
