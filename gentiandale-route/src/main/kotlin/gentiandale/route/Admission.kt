package gentiandale.route

import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import kotlin.math.roundToLong

/** Decides which requests can be served in time, and builds the refusals of the others. */
internal class Admission(private val settings: PolicySettings) {
    /** Returns the refusal of the new [track] if a placement in [waitMs] is too late to queue it, or null. */
    fun refusalOfNew(track: TrackedRequest, waitMs: Double, forecast: WaitForecast, nowMs: Long): Refusal? =
        refusal(track, waitMs + forecast.serviceMs(track), settings.queueMargin, forecast, nowMs)

    /** Returns the refusal of the queued [track] if a placement in [waitMs] is too late for it, or null. */
    fun refusalOfQueued(track: TrackedRequest, waitMs: Double, forecast: WaitForecast, nowMs: Long): Refusal? =
        refusal(track, waitMs + forecast.serviceMs(track), settings.targetMargin, forecast, nowMs)

    /** Returns the refusal of [track] if its first token in [firstTokenMs] from now is too late, or null. */
    fun refusalOfPlaced(track: TrackedRequest, firstTokenMs: Double, forecast: WaitForecast, nowMs: Long): Refusal? =
        refusal(track, firstTokenMs, settings.targetMargin, forecast, nowMs)

    private fun refusal(
        track: TrackedRequest,
        firstTokenMs: Double,
        margin: Double,
        forecast: WaitForecast,
        nowMs: Long,
    ): Refusal? {
        val atMs = nowMs + firstTokenMs
        if (atMs > track.request.deadlineMs) return lateRefusal(track, RefusalReason.DEADLINE, firstTokenMs)
        if (track.wasPlaced) return null
        val overMs = atMs - track.request.arrivedMs - limitMs(track, margin, forecast)
        return if (overMs > 0) lateRefusal(track, RefusalReason.OVERLOAD, overMs) else null
    }

    /** Returns the refusal of [track] because no server is available. */
    fun noServer(track: TrackedRequest): Refusal = Refusal(
        RefusalReason.NO_SERVER,
        track.outcome,
        "No prefill and decode server of model ${track.request.model} accepts work.",
        NO_SERVER_RETRY_MS,
    )

    /** Returns the refusal of [track] after its last attempt failed, with [detail] as the message. */
    fun failed(track: TrackedRequest, detail: String): Refusal =
        Refusal(RefusalReason.BACKEND_FAILED, track.outcome, detail, NO_SERVER_RETRY_MS)

    /**
     * Returns the allowed time from the arrival of [track] to its first token, in milliseconds. A prompt that is too
     * long for the target even on idle servers is allowed its service time there plus a quarter of the target.
     */
    private fun limitMs(track: TrackedRequest, margin: Double, forecast: WaitForecast): Double {
        val targetMs = track.rank.firstTokenMs.toDouble()
        return maxOf(targetMs * margin, forecast.idleServiceMs(track) + targetMs / LONG_PROMPT_SLACK_DIVISOR)
    }

    private fun lateRefusal(track: TrackedRequest, reason: RefusalReason, overMs: Double): Refusal {
        val detail = "The first token would come too late; retry after ${retryAfterMs(track, overMs)} ms."
        return Refusal(reason, track.outcome, detail, retryAfterMs(track, overMs))
    }

    /** Returns [overMs] plus up to a quarter of it as jitter, so that refused callers do not retry all at once. */
    private fun retryAfterMs(track: TrackedRequest, overMs: Double): Long {
        val jitter = 1 + (track.request.request.hashCode().mod(JITTER_STEPS)) / (JITTER_DIVISOR * JITTER_STEPS)
        return (overMs * jitter).roundToLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    private companion object {
        const val LONG_PROMPT_SLACK_DIVISOR = 4
        const val NO_SERVER_RETRY_MS = 1_000L
        const val MIN_RETRY_MS = 100L
        const val MAX_RETRY_MS = 30_000L
        const val JITTER_STEPS = 64
        const val JITTER_DIVISOR = 4.0
    }
}
