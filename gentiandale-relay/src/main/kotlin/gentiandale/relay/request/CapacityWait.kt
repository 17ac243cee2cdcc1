package gentiandale.relay.request

import gentiandale.core.ServerId
import gentiandale.core.capacity.CapacityAnswer
import gentiandale.core.capacity.CapacityRequest
import gentiandale.relay.CapacityEvent
import gentiandale.relay.placement.CapacityPolicy
import gentiandale.relay.placement.CapacityStep
import gentiandale.relay.placement.CapacityView
import gentiandale.relay.routing.RoutingTable
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * What a request needs.
 *
 * @param endMs monotonic time in milliseconds by which its answer, or the first event of a stream, must arrive.
 * @param durationMs usual time from sending it to that.
 * @param minimumMs least time in which a server can answer it.
 * @param tokens memory that it needs at a decode server.
 */
internal class CapacityNeed(val endMs: Long, val durationMs: Long, val minimumMs: Long, val tokens: Int = 0)

/** Decides whether one request must ask for capacity of its service, and waits for the answer. */
internal class CapacityWait(
    private val context: RelayContext,
    private val guard: StepGuard,
    private val routed: () -> RoutedRequest,
    private val owner: Owner,
) {
    /** The request that waits. */
    interface Owner {
        /** Returns what the request needs now. */
        fun capacityNeed(): CapacityNeed

        /** Returns whether the request can be sent to [server], or to any server if that is null. */
        fun canUse(server: ServerId?): Boolean

        /** Continues the request by [step], which is not [CapacityStep.Ask]. */
        fun onCapacity(step: CapacityStep)

        /** Called when the wait has ended as [table] has replaced the service of the request by another one. */
        fun onMoved(table: RoutingTable)
    }

    private var number = 0L
    private var sinceMs: Long? = null
    private var isAsked = false
    private var hasFallenBack = false
    private var unusableGrants = 0
    private val timers = ArrayList<ScheduledFuture<*>>(2)

    /** Whether the request waits for an answer. */
    val isWaiting: Boolean get() = sinceMs != null

    private val shared get() = context.capacity

    /**
     * Returns what the request does, for whose service a control VM holds a queue and which servers have rejected
     * [rejections] times, or null if it waits now.
     *
     * @param hasCapacity whether a server has capacity by the loads that this VM knows.
     */
    fun next(hasCapacity: Boolean, rejections: Int = 0): CapacityStep? {
        val need = owner.capacityNeed()
        val view = CapacityView(
            isContended = shared.isContended(routed().service),
            hasCapacity = hasCapacity,
            rejections = rejections,
            hasFallenBack = hasFallenBack,
            leftMs = need.endMs - context.nowMs(),
            minimumMs = need.minimumMs,
        )
        val step = CapacityPolicy.next(view)
        if (step !is CapacityStep.Ask) return step
        begin(need, view, step.delayMs)
        return null
    }

    private fun begin(need: CapacityNeed, view: CapacityView, delayMs: Long) {
        sinceMs = context.nowMs()
        shared.add(this)
        context.stats.onCapacityWaiting(routed().service.value, 1)
        note("asked", view)
        timers += schedule(need.endMs - need.minimumMs - context.nowMs()) { end(CapacityPolicy.noTimeLeft()) }
        askIn(delayMs)
    }

    private fun schedule(delayMs: Long, step: () -> Unit): ScheduledFuture<*> =
        context.loop.schedule({ guard.execute { if (isWaiting) step() } }, delayMs, TimeUnit.MILLISECONDS)

    private fun askIn(delayMs: Long) {
        if (delayMs > 0) timers += schedule(delayMs, ::ask) else ask()
    }

    private fun ask() {
        val need = owner.capacityNeed()
        val request = routed()
        val now = context.nowMs()
        val asked = shared.nextNumber()
        number = asked
        isAsked = true
        val capacityRequest = CapacityRequest(
            number = asked,
            service = request.service,
            urgency = request.urgency,
            customer = request.customer?.name,
            route = request.route.name,
            ageMs = now - request.request.startMs,
            targetMs = request.request.startMs + request.route.targetMs - now,
            leftMs = need.endMs - now,
            durationMs = need.durationMs,
            tokens = need.tokens,
        )
        context.listener.requestCapacity(capacityRequest) { guard.execute { onAnswer(asked, it) } }
    }

    /** Handles the first [answer] to the request [asked]; a repeated or late one has no effect. */
    private fun onAnswer(asked: Long, answer: CapacityAnswer) {
        if (!isWaiting || !isAsked || asked != number) return
        isAsked = false
        val isUsable = answer is CapacityAnswer.Granted && owner.canUse(answer.server)
        val isStream = routed().route.stream
        val step = CapacityPolicy.after(answer, isUsable, unusableGrants, isStream)
        if (step !is CapacityStep.Ask) return end(step)
        unusableGrants++
        note("unusable", server = (answer as? CapacityAnswer.Granted)?.server)
        askIn(step.delayMs)
    }

    private fun end(step: CapacityStep) {
        note(step)
        stop()
        if (step is CapacityStep.FallBack) hasFallenBack = true
        owner.onCapacity(step)
    }

    /** Lets this VM place the request from now on. */
    fun fallBack() {
        hasFallenBack = true
    }

    /** Ends the wait, if there is one, because of [reason]; the request continues or ends otherwise. */
    fun cancel(reason: String) {
        if (!isWaiting) return
        note(reason)
        stop()
    }

    private fun stop() {
        if (isAsked) context.listener.cancelCapacity(routed().service, number)
        isAsked = false
        sinceMs = null
        timers.forEach { it.cancel(false) }
        timers.clear()
        shared.remove(this)
        context.stats.onCapacityWaiting(routed().service.value, -1)
    }

    /** Ends the wait if [table] no longer leads the request to its service. */
    fun onConfiguration(table: RoutingTable) = guard.execute {
        val route = table.find(routed().request.headers.get(HttpHeaderNames.HOST).orEmpty(), routed().request.target)
        val isKept = route != null && route.shares.any { it.service == routed().service && it.weight > 0 }
        if (!isKept) {
            cancel("moved")
            owner.onMoved(table)
        }
    }

    private fun note(step: CapacityStep) = when (step) {
        is CapacityStep.Send -> note("granted", server = step.server)
        is CapacityStep.Refuse -> note("refused", reason = step.reason, retryAfterMs = step.retryAfterMs)
        else -> note("fallback")
    }

    private fun note(
        decision: String,
        view: CapacityView? = null,
        server: ServerId? = null,
        reason: String? = null,
        retryAfterMs: Long? = null,
    ) {
        val request = routed()
        val waitedMs = sinceMs?.let { context.nowMs() - it } ?: 0
        context.stats.onCapacityDecision(request.service.value, decision, waitedMs)
        context.log.write(
            CapacityEvent(
                request = request.id,
                service = request.service,
                decision = decision,
                view = view,
                loadsAgeMs = shared.ageMs,
                ageMs = context.nowMs() - request.request.startMs,
                waitedMs = waitedMs,
                server = server,
                reason = reason,
                retryAfterMs = retryAfterMs,
            ),
        )
    }
}
