package gentiandale.relay.backend

import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow

/**
 * A backend server as seen by one entry VM: its [row] and the statistics of requests to it. Confined to one thread.
 */
public class Backend(row: BackendRow, private val speeds: ReadSpeeds = ReadSpeeds()) {
    /** Latest state that the server has reported. */
    public var row: BackendRow = row
        private set

    /** Requests of this VM that the server has not finished. */
    public var running: Int = 0
        internal set

    /** Prompt tokens of requests of this VM that the server has not read yet. */
    public var promptTokens: Long = 0
        internal set

    private val reservations = HashSet<GenerationMemory>()

    /** Monotonic time in milliseconds of the last bytes of an answer, or null before the first. */
    public var lastByteMs: Long? = null
        internal set

    /** Load placed by this VM. */
    public val localLoad: AssignedLoad
        get() = reservations.fold(
            AssignedLoad(row.id, maxOf(running, reservations.size), promptTokens),
        ) { sum, memory ->
            sum +
                AssignedLoad(row.id, memoryTokens = memory.tokens.toLong(), projectedTokens = memory.projectedTokens())
        }

    /** Load placed by the other VMs, as last reported. */
    public var peerLoad: AssignedLoad = AssignedLoad(row.id)
        private set

    /** Load of all VMs, as far as it is known. */
    public val load: AssignedLoad get() = localLoad + peerLoad

    /** Replaces the load placed by the other VMs with [load]. */
    public fun updatePeerLoad(load: AssignedLoad) {
        peerLoad = load
    }

    /** Reserves [memory] for a generation of this VM until [release] is called. */
    public fun reserve(memory: GenerationMemory) {
        reservations += memory
    }

    /** Releases the reservation of [memory]. */
    public fun release(memory: GenerationMemory) {
        reservations -= memory
    }

    private var relativeSpeed = 1.0

    /** Estimated prefill speed in tokens per millisecond: that of its service, adjusted by its own last prompts. */
    public val tokensPerMs: Double get() = speeds.of(row.service, row.kind) * relativeSpeed

    /** Smoothed time in milliseconds from sending a request to the head of its answer. */
    public var latencyMs: Double = INITIAL_LATENCY_MS
        private set

    /** Smoothed rate of failed requests, from 0 to 1. */
    public var failureRate: Double = 0.0
        private set

    /** Number of consecutive failures. */
    public var consecutiveFailures: Int = 0
        private set

    /** Monotonic time in milliseconds of the last failure, or null. */
    public var lastFailureMs: Long? = null
        private set

    private var consecutiveRejections = 0
    private var pausedUntilMs = Long.MIN_VALUE

    /** Monotonic time in milliseconds until which the server is avoided if another one is available. */
    public var avoidUntilMs: Long = Long.MIN_VALUE
        private set

    /** Monotonic time in milliseconds since which requests have waited without any answer, or null. */
    public var unansweredSinceMs: Long? = null
        internal set

    /** Monotonic time in milliseconds until which the server has asked this VM to send no requests. */
    public var restUntilMs: Long = Long.MIN_VALUE / 2
        private set

    /** Sends the server no requests until [untilMs]; a shorter rest does not replace a longer one. */
    public fun rest(untilMs: Long) {
        restUntilMs = maxOf(restUntilMs, untilMs)
    }

    /** Returns whether the server has asked this VM to send no requests at [nowMs]. */
    public fun isResting(nowMs: Long): Boolean = nowMs < restUntilMs

    /** What the last answer said about the requests that the server takes from all VMs together, or null. */
    internal var statedLimit: String? = null

    /** Monotonic time in milliseconds at which this VM last reported the limit to the other VMs. */
    internal var limitReportedMs: Long = Long.MIN_VALUE / 2

    /** Requests that this VM may send to the server if it has named a limit. */
    public val limit: RequestLimit = RequestLimit()

    /** Whether the server accepts new work. */
    public val isReady: Boolean get() = row.acceptsWork

    /** Returns whether the server is avoided at [nowMs] if another one is available. */
    public fun isAvoided(nowMs: Long): Boolean = nowMs < avoidUntilMs || nowMs < pausedUntilMs || row.silent

    /** Avoids the server until [untilMs], or until it reports another stage. */
    internal fun pause(untilMs: Long) {
        pausedUntilMs = untilMs
    }

    /** Replaces the row with [newer] of the same process. */
    internal fun update(newer: BackendRow) {
        if (newer.kind != row.kind) {
            pausedUntilMs = Long.MIN_VALUE
            relativeSpeed = 1.0
        }
        row = newer
    }

    /** Records an answer whose head arrived after [elapsedMs] milliseconds. */
    public fun onAnswer(elapsedMs: Long) {
        latencyMs += LATENCY_WEIGHT * (elapsedMs - latencyMs)
        failureRate -= FAILURE_WEIGHT * failureRate
        consecutiveFailures = 0
    }

    /** Records that the server has read [tokens] prompt tokens in [elapsedMs] milliseconds, beside other work. */
    public fun onPromptRead(tokens: Long, elapsedMs: Long) {
        if (elapsedMs <= 0 || tokens < MIN_MEASURED_TOKENS) return
        val speed = tokens.toDouble() / elapsedMs
        speeds.observe(row.service, row.kind, speed)
        relativeSpeed += SPEED_WEIGHT * (speed / speeds.of(row.service, row.kind) - relativeSpeed)
    }

    /** Records a failure of the server or its connection at [nowMs], and avoids it for a while. */
    public fun onFailure(nowMs: Long) {
        failureRate += FAILURE_WEIGHT * (1 - failureRate)
        consecutiveFailures++
        lastFailureMs = nowMs
        val pauseMs = FAILURE_PAUSE_MS shl (consecutiveFailures - 1).coerceAtMost(MAX_DOUBLINGS)
        avoidUntilMs = nowMs + pauseMs
    }

    /** Records that the server has accepted a request, and no longer avoids it. */
    public fun onAccepted() {
        consecutiveRejections = 0
        avoidUntilMs = Long.MIN_VALUE
    }

    /** Records that the server was full at [nowMs], and avoids it for a while. */
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

        /** Reading a shorter prompt takes less time than the call itself, so that it says nothing about the speed. */
        const val MIN_MEASURED_TOKENS = 500L

        /** Pause after a failure; each further one doubles it, up to two seconds, which bounds the recovery time. */
        const val FAILURE_PAUSE_MS = 250L
        const val MAX_DOUBLINGS = 3

        /** Pause after a rejection, about the time until a place is free; each further one doubles it. */
        const val FULL_PAUSE_MS = 60L
    }
}
