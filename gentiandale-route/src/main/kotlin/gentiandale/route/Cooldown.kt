package gentiandale.route

/** Back-off after failures of a server: it gets no new work for a pause that doubles with each consecutive failure. */
internal class Cooldown {
    private var failures = 0
    private var untilMs = Long.MIN_VALUE

    /** Starts or extends the pause after a failure at [nowMs]. */
    fun failed(nowMs: Long) {
        val pauseMs = (FIRST_PAUSE_MS shl failures.coerceAtMost(MAX_DOUBLINGS))
        failures++
        untilMs = maxOf(untilMs, nowMs + pauseMs)
    }

    /** Ends the pause and resets the failure count. */
    fun succeeded() {
        failures = 0
        untilMs = Long.MIN_VALUE
    }

    /** Returns whether the pause lasts at [nowMs]. */
    fun isActive(nowMs: Long): Boolean = nowMs < untilMs

    private companion object {
        const val FIRST_PAUSE_MS = 100L
        const val MAX_DOUBLINGS = 6
    }
}
