package gentiandale.relay.request

import gentiandale.relay.RelayEvent
import gentiandale.relay.backend.Backend
import gentiandale.relay.placement.Silence
import gentiandale.relay.placement.SilencePolicy
import gentiandale.relay.placement.SilenceStep
import gentiandale.relay.placement.Takeover
import gentiandale.relay.placement.TakeoverPolicy
import gentiandale.relay.placement.TakeoverStep

/** Decides and logs what is done about silent servers of the stream of one request. */
internal class StreamSilences(private val routed: RoutedRequest, private val context: RelayContext) {
    /**
     * Decides about [server], which has sent no event for [waitedMs] milliseconds.
     *
     * @param events events that it has sent before.
     * @param limitMs length of a silence of the whole server in milliseconds beyond which the stream is moved.
     * @param hasAttempt whether the route allows another server.
     */
    fun next(
        server: Backend,
        events: Int?,
        waitedMs: Long,
        limitMs: Long,
        isCallerSlow: Boolean,
        hasAttempt: Boolean,
    ): SilenceStep {
        val now = context.nowMs()
        val silence = Silence(waitedMs, server.lastByteMs?.let { now - it }, isCallerSlow)
        val hasBudget = context.budgetOf(routed.service).remaining(now) > 0
        return SilencePolicy.next(silence, limitMs, hasAttempt, hasBudget).also {
            when (it) {
                is SilenceStep.Wait -> note(server, events, waitedMs, "wait", it.reason)
                is SilenceStep.Move -> note(server, events, waitedMs, "move", null)
            }
        }
    }

    /**
     * Decides about [first], which has been silent since [silentSinceMs], and [second], which has got the stream and
     * sent no event of it. What they have sent for other requests counts from [heardSinceMs] on.
     */
    fun atOverlap(first: Backend, second: Backend, silentSinceMs: Long, heardSinceMs: Long): TakeoverStep {
        val isHeard = { server: Backend -> (server.lastByteMs ?: Long.MIN_VALUE) >= heardSinceMs }
        return TakeoverPolicy.next(Takeover(context.nowMs() - silentSinceMs, isHeard(first), isHeard(second)))
    }

    /** Logs that the stream stays at [server] for [reason], after another one was looked for. */
    fun onReturn(server: Backend, events: Int?, waitedMs: Long, reason: String) =
        note(server, events, waitedMs, "return", reason)

    private fun note(server: Backend, events: Int?, waitedMs: Long, decision: String, reason: String?) {
        context.log.write(RelayEvent.StreamSilent(routed.id, server.row.id, events, waitedMs, decision, reason))
        context.stats.onStreamSilent(decision)
    }
}
