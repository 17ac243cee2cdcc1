package gentiandale.relay.placement

/** What is done about a server that has sent no event of a stream for some time. */
public sealed interface SilenceStep {
    /** The stream stays at its server because of [reason]; [isFinal] if that can't change. */
    public data class Wait(val reason: String, val isFinal: Boolean = false) : SilenceStep

    /** Another server is asked to take the stream over. */
    public data object Move : SilenceStep
}

/**
 * A silent server of a stream.
 *
 * @param waitedMs time in milliseconds since the last event of the stream.
 * @param quietMs time in milliseconds since the server sent anything, also for other requests, or null if it never did.
 * @param isCallerSlow whether the server is not read because the caller does not read.
 */
public data class Silence(val waitedMs: Long, val quietMs: Long?, val isCallerSlow: Boolean)

/** Decides whether a stream is moved away from a silent server. */
public object SilencePolicy {
    /** Longest gap in milliseconds before callers give the stream up. */
    internal const val MAX_GAP_MS = 2_200L

    /**
     * Returns what is done about [silence].
     *
     * @param limitMs length of a silence of the whole server in milliseconds beyond which the stream is moved.
     * @param hasAttempt whether the route allows another server.
     * @param hasBudget whether the retry budget allows another send.
     */
    public fun next(silence: Silence, limitMs: Long, hasAttempt: Boolean, hasBudget: Boolean): SilenceStep = when {
        !hasAttempt -> SilenceStep.Wait("no attempt left", isFinal = true)
        silence.isCallerSlow -> SilenceStep.Wait("the caller does not read")
        // The server has only preempted the request, and waiting is cheaper than reading the prompt elsewhere.
        (silence.quietMs ?: Long.MAX_VALUE) < limitMs && silence.waitedMs < MAX_GAP_MS ->
            SilenceStep.Wait("the server answers other requests")
        !hasBudget -> SilenceStep.Wait("retry budget exhausted")
        else -> SilenceStep.Move
    }
}
