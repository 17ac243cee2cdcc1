package gentiandale.relay.request

import gentiandale.relay.upstream.GenerationSize

/** Times and numbers that bound the handling of a generation. */
internal object GenerationLimits {
    /** Used for a request that does not state its size. */
    val DEFAULT_SIZE = GenerationSize(prompt = 1_000, answer = 100, expected = 100)

    /** Returns the time in milliseconds after which a prefill that should take [expectedMs] is given up. */
    fun prefillLimitMs(expectedMs: Double): Long =
        ((expectedMs * PREFILL_TIMEOUT_FACTOR).toLong() + PREFILL_CALL_MARGIN_MS).coerceAtMost(MAX_PREFILL_MS)

    /** Returns the time in milliseconds to the first event of a server that reads the prompt in [prefillMs] before. */
    fun firstEventLimitMs(prefillMs: Double): Long =
        (prefillMs * PREFILL_TIMEOUT_FACTOR).toLong() + FIRST_EVENT_MARGIN_MS

    /**
     * Returns the time in milliseconds for which a caller waits for the first event of a stream with a target of
     * [targetMs] and a longest gap of [maxGapMs]. Callers give up at a gap of two seconds, four targets or eight times
     * the longest gap, whichever is longest.
     */
    fun patienceMs(targetMs: Long, maxGapMs: Long): Long =
        maxOf(MIN_PATIENCE_MS, PATIENCE_TARGETS * targetMs, PATIENCE_GAPS * maxGapMs)

    private const val MIN_PATIENCE_MS = 2_000L
    private const val PATIENCE_TARGETS = 4
    private const val PATIENCE_GAPS = 8

    /** Time in milliseconds from a grant to the first event: the prompt is read and its KV cache transferred. */
    const val MIN_FIRST_EVENT_MS = 150L

    /** Longest gap between two events where the route states none. */
    const val DEFAULT_GAP_MS = 300L

    /** Reservations that a request drops because of conflicts before it goes ahead in spite of one. */
    const val MAX_CONFLICTS = 4

    /** Prefill calls per request, after which a decode server reads the prompt itself. */
    const val MAX_PREFILL_CALLS = 2

    /** Rejections by servers after which the request is refused. */
    const val MAX_REJECTIONS = 4

    /** A prefill is given up after this multiple of its expected duration. */
    const val PREFILL_TIMEOUT_FACTOR = 2.0

    /** Upper bound of the prefill timeout in milliseconds, since the caller waits for the first event. */
    const val MAX_PREFILL_MS = 1_200L

    /** Time in milliseconds for the connection, the round trip and the engine step that is running. */
    const val PREFILL_CALL_MARGIN_MS = 150L

    /** Callers wait for the first event for about four targets, and reading a prompt again costs more. */
    const val FIRST_EVENT_MARGIN_MS = 1_200L

    /** A gap that makes a stream late and is longer than the retransmission of a lost packet. */
    const val EVENT_GAP_TIMEOUT_MS = 1_000L

    /** Time in milliseconds between two decisions about which server keeps a stream that is being moved. */
    const val TAKEOVER_CHECK_MS = 250L

    /** Time in which an engine finishes a few requests; the caller is told to retry after it. */
    const val RETRY_AFTER_MS = 1_000L
}
