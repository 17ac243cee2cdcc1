package gentiandale.relay.request

import gentiandale.relay.backend.Backend
import gentiandale.relay.forward.ForwardPath
import gentiandale.relay.placement.SilenceStep
import gentiandale.relay.placement.TakeoverStep
import gentiandale.relay.routing.Repetition
import gentiandale.relay.upstream.SendFailure
import io.netty.util.concurrent.ScheduledFuture

/** Keeps the event stream of one request at its server, or moves it to another one if that server falls silent. */
internal abstract class StreamRequestHandler(routed: RoutedRequest, context: RelayContext) :
    RequestHandler(routed, context, context.dialect.sharedParts(routed.headers)) {
    private var gapTimer: ScheduledFuture<*>? = null
    protected var currentSend: Send? = null

    /** The send to a server that has fallen silent. It stays open until another server has sent an event. */
    protected var silent: SilentStream? = null
        private set

    private val silences = StreamSilences(routed, context)
    private var hasUnsent = false

    protected class SilentStream(val send: Send, val reservation: MemoryReservation, val sinceMs: Long)

    /** Capacity that is reserved at the server of the stream. */
    protected abstract var reservation: MemoryReservation

    /** Returns a reservation without a server. */
    protected abstract fun newReservation(): MemoryReservation

    /** Releases what was reserved for the current send. */
    protected abstract fun releasePlacement()

    /** Releases the reservation and places the request again. */
    protected abstract fun restart()

    /** Passes [server] over from now on, whose send has ended with [failure]. */
    protected fun onSendFailed(server: Backend, failure: SendFailure) {
        tried += server.row.id
        if (failure is SendFailure.NotSent) hasUnsent = true
    }

    /**
     * Checks whether this VM still reaches the service, if a send could not be written, and returns whether it does so.
     * The request, which no server is left for, is placed again then: a peer may reach one.
     */
    protected fun checksReach(): Boolean {
        if (!hasUnsent || path() !is ForwardPath.Direct) return false
        hasUnsent = false
        context.monitor.confirmReach(routed.service, emptySet()) { guard.execute { if (!isOver) dispatch() } }
        return true
    }

    /** Stops waiting for the next event. */
    protected fun stopWatching() {
        gapTimer?.cancel(false)
    }

    /** Releases what is reserved at the silent server. */
    protected fun releaseSilentStream() {
        silent?.reservation?.release()
        silent = null
    }

    /** Asks another server to take the request over if [send] yields no event for [delayMs] milliseconds. */
    protected fun watchEvents(send: Send, delayMs: Long, waitedMs: Long) {
        gapTimer?.cancel(false)
        if (route.repetition != Repetition.RESUMABLE || attempts > route.maxAttempts) return
        gapTimer = schedule(delayMs) { onEventGap(send, delayMs, waitedMs + delayMs) }
    }

    private fun onEventGap(send: Send, delayMs: Long, waitedMs: Long) {
        if (isOver || currentSend !== send) return
        // The stream is at two servers already.
        if (silent != null) return watchEvents(send, delayMs, waitedMs)
        val hasAttempt = attempts < route.maxAttempts || unheard.isNotEmpty()
        val step = silences.next(send.server, send.handler.eventCount, waitedMs, delayMs, send.isPaused, hasAttempt)
        when (step) {
            is SilenceStep.Wait -> if (!step.isFinal) watchEvents(send, delayMs, waitedMs)
            is SilenceStep.Move -> {
                tried += send.server.row.id
                if (send.isSent) {
                    send.onSilence()
                    silent = SilentStream(send, reservation, context.nowMs() - waitedMs)
                    reservation = newReservation()
                } else {
                    send.recordFailure("not connected within $waitedMs ms")
                    send.cancel()
                }
                restart()
            }
        }
    }

    /** Closes the connection to the silent server, as another one takes the stream over. */
    protected fun leaveSilentServer() {
        val left = silent ?: return
        silent = null
        left.send.logFailure("no stream event for ${context.nowMs() - left.sinceMs} ms")
        left.send.cancel()
        left.reservation.release()
    }

    /** Decides after [GenerationLimits.TAKEOVER_CHECK_MS] which of the two servers of [generation] keep the stream. */
    protected fun watchOverlap(generation: GenerationCall) {
        val sinceMs = context.nowMs()
        schedule(GenerationLimits.TAKEOVER_CHECK_MS) { onOverlap(generation, sinceMs) }
    }

    private fun onOverlap(generation: GenerationCall, sinceMs: Long) {
        val first = silent ?: return
        if (currentSend?.handler !== generation) return
        when (val step = silences.atOverlap(first.send.server, generation.server, first.sinceMs, sinceMs)) {
            is TakeoverStep.AwaitSecond -> watchOverlap(generation)
            is TakeoverStep.LeaveFirst -> {
                // The other server may still reject the stream.
                unheard += first.send.server.row.id
                tried -= first.send.server.row.id
                leaveSilentServer()
            }
            is TakeoverStep.ReturnToFirst -> {
                unheard += generation.server.row.id
                returnToServer(step.reason)
            }
        }
    }

    override fun returnToServer(reason: String): Boolean {
        val previous = silent ?: return false
        silent = null
        currentSend?.cancel()
        releasePlacement()
        permits.release()
        currentSend = previous.send
        reservation = previous.reservation
        tried -= previous.send.server.row.id
        val silentMs = context.nowMs() - previous.sinceMs
        silences.onReturn(previous.send.server, previous.send.handler.eventCount, silentMs, reason)
        watchEvents(previous.send, GenerationLimits.EVENT_GAP_TIMEOUT_MS, silentMs)
        return true
    }

    /** Returns whether [generation] was the one at a silent server, which has ended; the request is being moved. */
    protected fun endSilentStream(generation: GenerationCall): Boolean {
        val ended = silent?.takeIf { it.send.handler === generation } ?: return false
        silent = null
        ended.reservation.release()
        return true
    }

    protected fun isAtSilentServer(generation: GenerationCall) = silent?.send?.handler === generation
}
