package gentiandale.relay.placement

/** Which of two servers keeps a request that was sent to a second one because the first one is silent. */
public sealed interface TakeoverStep {
    /** Both keep the request until one of them goes on with it or the second one ends. */
    public data object AwaitSecond : TakeoverStep

    /** The second server keeps the request; the first one is left. */
    public data object LeaveFirst : TakeoverStep

    /** The first server keeps the request because of [reason]; the second one is left. */
    public data class ReturnToFirst(val reason: String) : TakeoverStep
}

/**
 * A stream at two servers, neither of which has sent an event of it since the second one got it.
 *
 * @param silentMs time in milliseconds since the first server sent an event of the stream.
 * @param isFirstHeard whether the first server has sent anything, also for other requests, since the last decision.
 * @param isSecondHeard whether the second server has.
 */
public data class Takeover(val silentMs: Long, val isFirstHeard: Boolean, val isSecondHeard: Boolean)

/**
 * Decides which server keeps a stream when two have had it for some time. A sound server may be silent for a second or
 * so, and a server that responds may still reject the stream. So the first server is kept until the second one has sent
 * an event. A server that responds but has sent none does not work on the stream yet, so that no two do.
 */
public object TakeoverPolicy {
    /** Returns which server keeps the stream. */
    public fun next(takeover: Takeover): TakeoverStep = when {
        takeover.isSecondHeard -> TakeoverStep.AwaitSecond
        takeover.isFirstHeard -> TakeoverStep.ReturnToFirst("only the server before responds")
        // The caller is about to give the stream up, so that nothing is lost by leaving the first server.
        takeover.silentMs >= SilencePolicy.MAX_GAP_MS -> TakeoverStep.LeaveFirst
        else -> TakeoverStep.ReturnToFirst("the other server does not respond either")
    }
}
