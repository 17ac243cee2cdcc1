package gentiandale.relay.request

import gentiandale.relay.RelayEvent
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.placement.GenerationPlan
import gentiandale.relay.upstream.GenerationSize

/** Logs what one generation reserves. */
internal class GenerationLog(
    private val context: RelayContext,
    private val size: GenerationSize,
    private val need: GenerationMemory,
    private val suspect: CrashSuspect,
) {
    /** Logs that [plan] was made for [routed]. */
    fun onReserved(routed: RoutedRequest, plan: GenerationPlan.Placement) {
        val waitedMs = context.nowMs() - routed.request.startMs
        val prefill = plan.prefill?.row?.id
        val ahead = context.queue.size
        context.log.write(
            RelayEvent.Reserved(routed.id, plan.decode.load, prefill, size, need, suspect.parts, waitedMs, ahead),
        )
    }

    /** Logs that [routed] drops the reservations of [plan], for the [times]th time. */
    fun onConflict(routed: RoutedRequest, plan: GenerationPlan.Placement, times: Int) =
        context.log.write(RelayEvent.ReservationConflict(routed.id, plan.decode.load, plan.prefill?.load, times))
}
