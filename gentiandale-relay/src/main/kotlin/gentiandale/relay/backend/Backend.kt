package gentiandale.relay.backend

import gentiandale.core.ServerKind
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServerLoad

/**
 * A backend server as one entry VM sees it: its [row] and what requests have shown. It is used by one thread.
 */
public class Backend(row: BackendRow) {
    /** What the server has last said of itself. */
    public var row: BackendRow = row
        private set

    /** Requests of this VM that it has not answered yet. */
    public var running: Int = 0
        internal set

    /** Prompt tokens of this VM's requests that it has not read yet. */
    public var promptTokens: Long = 0
        internal set

    private val reservations = HashSet<GenerationMemory>()

    /** Monotonic time in milliseconds at which bytes of an answer came last; null before the first. */
    public var lastByteMs: Long? = null
        internal set

    /** Load that this VM has placed. */
    public val localLoad: ServerLoad
        get() = reservations.fold(ServerLoad(row.id, maxOf(running, reservations.size), promptTokens)) { sum, memory ->
            sum + ServerLoad(row.id, memoryTokens = memory.tokens.toLong(), ahead = memory.projectedTokens())
        }

    /** Load of the other VMs, as last told. */
    public var peerLoad: ServerLoad = ServerLoad(row.id)
        private set

    /** Load of all VMs, as far as known. */
    public val load: ServerLoad get() = localLoad + peerLoad

    /** Takes the load of the other VMs. */
    public fun updatePeerLoad(load: ServerLoad) {
        peerLoad = load
    }

    /** Notes that a generation of this VM holds [memory] here until [release] is called. */
    public fun reserve(memory: GenerationMemory) {
        reservations += memory
    }

    /** Notes that the generation with [memory] has ended here. */
    public fun release(memory: GenerationMemory) {
        reservations -= memory
    }

    /** Smoothed speed at which it reads prompts, in tokens in a millisecond. */
    public var tokensPerMs: Double = if (row.kind == ServerKind.PREFILL) INITIAL_PREFILL_TOKENS_PER_MS else INITIAL_DECODE_TOKENS_PER_MS
        private set

    /** Smoothed time in milliseconds from sending a request to the head of its answer. */
    public var latencyMs: Double = INITIAL_LATENCY_MS
        private set

    /** Smoothed share of failed requests, from 0 to 1. */
    public var failureRate: Double = 0.0
        private set

    /** Failures in a row. */
    public var consecutiveFailures: Int = 0
        private set

    private var consecutiveRejections = 0
    private var pausedUntilMs = Long.MIN_VALUE

    /** Monotonic time in milliseconds until which it is passed over if another server is there. */
    public var avoidUntilMs: Long = Long.MIN_VALUE
        private set

    /** Monotonic time in milliseconds of the oldest request that has waited for an answer since; null if none waits. */
    public var unansweredSinceMs: Long? = null
        internal set

    /** Whether it takes new work. */
    public val isReady: Boolean get() = row.state == BackendState.READY

    /** Returns whether it is passed over at [nowMs] if another server is there. */
    public fun isAvoided(nowMs: Long): Boolean = nowMs < avoidUntilMs || nowMs < pausedUntilMs || row.silent

    /** Passes over it until [untilMs], or until it says that it has changed its stage. */
    internal fun pause(untilMs: Long) {
        pausedUntilMs = untilMs
    }

    /** Takes [newer] of the same process. */
    internal fun update(newer: BackendRow) {
        if (newer.kind != row.kind) {
            pausedUntilMs = Long.MIN_VALUE
            tokensPerMs = if (newer.kind == ServerKind.PREFILL) INITIAL_PREFILL_TOKENS_PER_MS else INITIAL_DECODE_TOKENS_PER_MS
        }
        row = newer
    }

    /** Notes an answer whose head came after [elapsedMs] milliseconds. */
    public fun onAnswer(elapsedMs: Long) {
        latencyMs += LATENCY_WEIGHT * (elapsedMs - latencyMs)
        failureRate -= FAILURE_WEIGHT * failureRate
        consecutiveFailures = 0
    }

    /** Notes that it has read [tokens] prompt tokens in [elapsedMs] milliseconds, beside other work. */
    public fun onPromptRead(tokens: Long, elapsedMs: Long) {
        if (elapsedMs <= 0 || tokens < MIN_MEASURED_TOKENS) return
        tokensPerMs += SPEED_WEIGHT * (tokens.toDouble() / elapsedMs - tokensPerMs)
    }

    /** Notes a failure of the server or of the way to it at [nowMs]. */
    public fun onFailure(nowMs: Long) {
        failureRate += FAILURE_WEIGHT * (1 - failureRate)
        consecutiveFailures++
        val pauseMs = FAILURE_PAUSE_MS shl (consecutiveFailures - 1).coerceAtMost(MAX_DOUBLINGS)
        avoidUntilMs = nowMs + pauseMs
    }

    /** Notes that it has taken a request. */
    public fun onAccepted() {
        consecutiveRejections = 0
        avoidUntilMs = Long.MIN_VALUE
    }

    /** Notes that it had no room at [nowMs]. */
    public fun onFull(nowMs: Long) {
        consecutiveRejections++
        val pauseMs = FULL_PAUSE_MS shl (consecutiveRejections - 1).coerceAtMost(MAX_DOUBLINGS)
        avoidUntilMs = maxOf(avoidUntilMs, nowMs + pauseMs)
    }

    private companion object {
        const val INITIAL_LATENCY_MS = 25.0
        const val LATENCY_WEIGHT = 0.1
        const val FAILURE_WEIGHT = 0.2
        const val SPEED_WEIGHT = 0.1

        /** Speeds assumed until some have been measured; a decode server reads at half the speed. */
        const val INITIAL_PREFILL_TOKENS_PER_MS = 45.0
        const val INITIAL_DECODE_TOKENS_PER_MS = 22.0

        /** A short prompt is read in less time than the call takes, and says nothing of the speed. */
        const val MIN_MEASURED_TOKENS = 500L

        /** First pause after a failure; each further one doubles it, up to two seconds, which bounds a recovery. */
        const val FAILURE_PAUSE_MS = 250L
        const val MAX_DOUBLINGS = 3

        /** First pause after a full queue, about the time until a place is free; each further one doubles it. */
        const val FULL_PAUSE_MS = 60L
    }
}
