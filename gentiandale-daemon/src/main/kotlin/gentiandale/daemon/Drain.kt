package gentiandale.daemon

import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.Clock
import gentiandale.daemon.http.CallGate
import gentiandale.daemon.settings.LimitSettings
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Graceful shutdown of one VM. The VM reports that it is not ready and announces to the other VMs that it is leaving.
 * It serves new calls for the grace period, because a load balancer may go on sending; after that it refuses them.
 * The shutdown ends when all work has ended or the limit has passed.
 */
internal class Drain(
    private val board: Blackboard,
    private val gate: CallGate,
    private val limits: LimitSettings,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val leave: suspend () -> Unit,
    private val isBusy: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger("gentiandale.vm")
    private val ended = CompletableDeferred<Unit>()
    private var job: Job? = null

    /**
     * Starts the shutdown if it has not been started.
     *
     * @param limitMs longest duration in milliseconds; 0 for no limit, null for the limit of the settings.
     */
    @Synchronized
    fun begin(limitMs: Long?) {
        if (job != null) return
        board[Board.DRAINING] = true
        job = scope.launch { run(limitMs ?: limits.drainLimitMs) }
    }

    /** Suspends until the shutdown has ended and the VM may be closed. */
    suspend fun awaitEnd() = ended.await()

    private suspend fun run(limitMs: Long) {
        val startMs = clock.monotonicMs()
        val limitPassed = { limitMs > 0 && clock.monotonicMs() - startMs >= limitMs }
        log.info("Shutting down gracefully; limit {} ms (0 is no limit).", limitMs)
        leave()
        while (clock.monotonicMs() - startMs < limits.drainGraceMs && !limitPassed()) delay(POLL_MS)
        gate.close()
        while (isBusy() && !limitPassed()) delay(POLL_MS)
        if (isBusy()) log.warn("Work is still running after the shutdown limit of $limitMs ms; it is aborted.")
        ended.complete(Unit)
    }

    private companion object {
        const val POLL_MS = 20L
    }
}
