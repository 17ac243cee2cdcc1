package gentiandale.relay.request

import gentiandale.relay.placement.PermitWaitPolicy
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Waits for a permit on behalf of one plain call whose servers have used up their request limits. */
internal class PermitWait(
    private val context: RelayContext,
    private val guard: StepGuard,
    private val routed: () -> RoutedRequest,
    private val owner: Owner,
) : PermitQueue.Entry {
    /** The call that waits. */
    interface Owner {
        /** Returns whether there is a server that the call may be sent to now. */
        fun hasPermit(): Boolean

        /** Sends the call after a permit has come. */
        fun onPermit()

        /** Ends the call because of [reason]. */
        fun onNoPermit(reason: String)
    }

    private var timer: ScheduledFuture<*>? = null

    override val urgency: Int get() = routed().urgency

    override val routeUrgency: Int get() = routed().route.urgency

    /** Begins to wait, or ends the call if no permit can come in time. */
    fun begin() {
        val call = routed()
        val reason = "request limits of ${call.service.value} used up"
        val servers = context.registry.ready(call.service, context.nowMs())
        val waitMs = PermitWaitPolicy.waitMs(
            elapsedMs = context.nowMs() - call.request.startMs,
            targetMs = minOf(call.route.targetMs, call.deadlineMs - call.request.startMs),
            serviceMs = servers.minOfOrNull { it.latencyMs } ?: 0.0,
            waiting = context.permitQueue.size,
        ) ?: return owner.onNoPermit(reason)
        context.permitQueue.add(this)
        awaitUntil(context.nowMs() + waitMs, reason)
    }

    /** Asks for permits again at intervals, and ends the call because of [reason] at [endMs]. */
    private fun awaitUntil(endMs: Long, reason: String) {
        val leftMs = endMs - context.nowMs()
        if (leftMs <= 0) {
            stop()
            return owner.onNoPermit(reason)
        }
        timer = context.loop.schedule(
            { guard.execute { if (owner.hasPermit()) onPermits() else awaitUntil(endMs, reason) } },
            minOf(leftMs, RECHECK_MS),
            TimeUnit.MILLISECONDS,
        )
    }

    /** Ends the wait, if there is one. */
    fun stop() {
        timer?.cancel(false)
        context.permitQueue.remove(this)
    }

    override fun onPermits() = guard.execute {
        if (owner.hasPermit()) {
            stop()
            owner.onPermit()
        }
    }

    companion object {
        /** Shorter than the time after which a control VM forgets that this VM needs permits. */
        const val RECHECK_MS = 100L
    }
}
