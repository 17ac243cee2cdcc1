package gentiandale.route

/**
 * Allows retries as a share of the submitted requests, so that faults can't multiply the load. Thread-safe.
 *
 * @param share retries that each submitted request earns.
 * @param burst most retries that can be saved up.
 */
public class RetryBudget(private val share: Double, private val burst: Double) {
    private var available = burst

    /** Whether a retry is left. */
    public val hasRetry: Boolean @Synchronized get() = available >= 1

    /** Counts a submitted request. */
    @Synchronized
    public fun recordSubmission() {
        available = (available + share).coerceAtMost(burst)
    }

    /** Takes one retry from the budget, or returns false if it is used up. */
    @Synchronized
    public fun take(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }
}
