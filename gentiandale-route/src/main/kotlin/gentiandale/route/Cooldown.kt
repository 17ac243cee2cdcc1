package gentiandale.route

/** Keeps new work away from a server for a while after it failed; each failure in a row doubles the pause. */
internal class Cooldown {
    private var failures = 0
    private var untilMs = Long.MIN_VALUE

    /** Notes a failure. */
    fun failed(nowMs: Long) {
        val pauseMs = (FIRST_PAUSE_MS shl failures.coerceAtMost(MAX_DOUBLINGS))
        failures++
        untilMs = maxOf(untilMs, nowMs + pauseMs)
    }

    /** Notes a success. */
    fun succeeded() {
        failures = 0
        untilMs = Long.MIN_VALUE
    }

    /** Returns whether the server gets no new work at [nowMs]. */
    fun isActive(nowMs: Long): Boolean = nowMs < untilMs

    private companion object {
        const val FIRST_PAUSE_MS = 100L
        const val MAX_DOUBLINGS = 6
    }
}
