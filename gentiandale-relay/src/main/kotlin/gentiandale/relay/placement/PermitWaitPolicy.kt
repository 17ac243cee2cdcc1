package gentiandale.relay.placement

/**
 * Decides how long a plain call waits for a permit when all servers of its service have used up their request limits.
 * Answers the load above the limits: a call waits only as long as it can still meet its target, so that the permits go
 * to calls that are served in time, and the others are refused at once.
 */
public object PermitWaitPolicy {
    /** Calls of one VM that may wait; more could not all be served in time. */
    private const val MAX_WAITING = 32

    /** A shorter wait ends before a control VM can answer. */
    private const val MIN_WAIT_MS = 5L

    /**
     * Returns the time in milliseconds for which a call waits that arrived [elapsedMs] ago, or null if it is refused.
     *
     * @param targetMs time from its arrival by which the call should be answered.
     * @param serviceMs usual time of a call in milliseconds.
     * @param waiting number of calls of this VM that wait.
     */
    public fun waitMs(elapsedMs: Long, targetMs: Long, serviceMs: Double, waiting: Int): Long? {
        if (waiting >= MAX_WAITING) return null
        val leftMs = targetMs - elapsedMs - serviceMs.toLong()
        return leftMs.takeIf { it >= MIN_WAIT_MS }
    }
}
