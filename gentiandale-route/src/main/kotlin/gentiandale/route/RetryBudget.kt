package gentiandale.route

/**
 * Token bucket that limits retries to a share of the submitted requests, so that faults can't multiply the load.
 * Thread-safe.
 *
 * @param share retries earned by each submitted request.
 * @param burst maximum number of retries that can accumulate.
 */
public class RetryBudget(private val share: Double, private val burst: Double) {
    private var available = burst

    /** Whether a retry is available. */
    public val hasRetry: Boolean @Synchronized get() = available >= 1

    /** Adds the share earned by a submitted request. */
    @Synchronized
    public fun recordSubmission() {
        available = (available + share).coerceAtMost(burst)
    }

    /** Takes one retry from the budget; returns false if none is available. */
    @Synchronized
    public fun take(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }
}
