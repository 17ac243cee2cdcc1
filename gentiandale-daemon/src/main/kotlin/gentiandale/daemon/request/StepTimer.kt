package gentiandale.daemon.request

import gentiandale.core.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Timer of one request: for its current step, and for its deadline at the monotonic time [deadlineMs]. Starting a step
 * that expires later than the running coroutine wakes up launches no new one, so a step can be started for each token.
 */
internal class StepTimer(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val deadlineMs: Long,
    private val limits: StepLimits,
    private val onStepTimeout: (Int) -> Unit,
    private val onDeadline: () -> Unit,
) {
    private class StepTimeout(val timerId: Int, val expiresMs: Long)

    @Volatile private var timeout: StepTimeout? = null
    private var job: Job? = null
    private var wakeUpMs = Long.MAX_VALUE

    /** Starts the timer of the deadline. */
    fun start() = rearm(deadlineMs)

    /** Starts the timer of [step] with the number [timerId]; it replaces that of the step before. */
    fun startStep(step: Step, timerId: Int) {
        val expiresMs = clock.monotonicMs() + limits.of(step)
        timeout = StepTimeout(timerId, expiresMs)
        if (expiresMs < wakeUpMs) rearm(expiresMs)
    }

    /** Stops the timer of the step. */
    fun stopStep() {
        timeout = null
    }

    /** Stops both timers. */
    fun stop() {
        job?.cancel()
    }

    private fun rearm(atMs: Long) {
        job?.cancel()
        wakeUpMs = atMs
        job = scope.launch { run(atMs) }
    }

    private suspend fun run(firstMs: Long) {
        var wake = firstMs
        while (true) {
            delay((wake - clock.monotonicMs()).coerceAtLeast(1))
            val now = clock.monotonicMs()
            if (now >= deadlineMs) return onDeadline()
            val current = timeout
            if (current != null && now >= current.expiresMs) {
                timeout = null
                onStepTimeout(current.timerId)
            }
            wake = minOf(timeout?.expiresMs ?: deadlineMs, deadlineMs)
            wakeUpMs = wake
        }
    }
}
