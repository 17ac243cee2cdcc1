package gentiandale.daemon.request

import gentiandale.core.Attempt
import gentiandale.core.Clock
import gentiandale.core.RequestId
import gentiandale.core.engine.CancelReply
import gentiandale.core.engine.CancelRequest
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicInteger

/** Sends one cancel to an engine. It throws an exception if the engine does not confirm it. */
internal fun interface CancelSender {
    suspend fun cancel(target: Target, request: CancelRequest): CancelReply
}

/**
 * Sends cancels to engines, each until the engine confirms it or the deadline of the request, which the engine knows
 * too, has passed. Cancels are sent independently of the coroutine of the request.
 *
 * An engine that held no work may not yet have received the call that is to be cancelled, so such a reply counts as a
 * confirmation only when it was given [REQUIRED_CONFIRMATIONS] times.
 */
internal class CancelQueue(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val sender: CancelSender,
) {
    private val log = LoggerFactory.getLogger("gentiandale.request")
    private val permits = Semaphore(MAX_CONCURRENT_CANCELS)
    private val pending = AtomicInteger()

    /** Number of cancels that are not confirmed yet. */
    val size: Int get() = pending.get()

    /** Cancels [request] up to [attempt] at [target], and gives up shortly after the monotonic time [deadlineMs]. */
    fun add(target: Target, request: RequestId, attempt: Attempt, deadlineMs: Long) {
        pending.incrementAndGet()
        scope.launch {
            try {
                retryUntilConfirmed(target, CancelRequest(request, attempt), deadlineMs + DEADLINE_MARGIN_MS)
            } finally {
                pending.decrementAndGet()
            }
        }
    }

    private suspend fun retryUntilConfirmed(target: Target, cancel: CancelRequest, untilMs: Long) {
        var backoffMs = INITIAL_BACKOFF_MS
        var notHeldReplies = 0
        while (clock.monotonicMs() < untilMs) {
            val held = sendCancel(target, cancel)
            if (held == false) notHeldReplies++
            if (held == true || notHeldReplies == REQUIRED_CONFIRMATIONS) return
            delay(if (held == false) RECONFIRM_DELAY_MS else backoffMs)
            backoffMs = (backoffMs * 2).coerceAtMost(MAX_BACKOFF_MS)
        }
        log.info("Cancel of {} at {} was not confirmed before the request's deadline.", cancel.request, target.server)
    }

    private suspend fun sendCancel(target: Target, cancel: CancelRequest): Boolean? = try {
        permits.withPermit { sender.cancel(target, cancel).held }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.debug("Cancel of {} at {} failed and is retried: {}.", cancel.request, target.server, e.message)
        null
    }

    private companion object {
        const val MAX_CONCURRENT_CANCELS = 64
        const val INITIAL_BACKOFF_MS = 50L
        const val MAX_BACKOFF_MS = 2_000L
        const val REQUIRED_CONFIRMATIONS = 2
        const val RECONFIRM_DELAY_MS = 500L
        const val DEADLINE_MARGIN_MS = 1_000L
    }
}
