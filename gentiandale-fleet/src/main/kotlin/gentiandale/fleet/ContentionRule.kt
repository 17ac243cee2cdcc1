package gentiandale.fleet

/**
 * Whether requests of a service must ask for capacity. Answers the load just below the capacity: as long as servers
 * have free places, no request pays for a question, and near the limit the entry VMs stop choosing independently.
 */
internal class ContentionRule {
    private var untilMs = Long.MIN_VALUE

    /** Whether requests must ask, as of the last [update]. */
    var isContended = false
        private set

    /**
     * Returns whether that has changed.
     *
     * @param usage share of the places that are in use; 0 for engines, where only waiting requests count.
     */
    fun update(hasWaiting: Boolean, usage: Double, nowMs: Long): Boolean {
        val isBusy = hasWaiting || usage >= if (isContended) END_USAGE else BEGIN_USAGE
        if (isBusy) untilMs = nowMs + MIN_FREE_MS
        val before = isContended
        isContended = isBusy || isContended && nowMs < untilMs
        return isContended != before
    }

    private companion object {
        const val BEGIN_USAGE = 1.0
        const val END_USAGE = 0.7

        /** It ends after this time below the limit, since each change is told to all entry VMs. */
        const val MIN_FREE_MS = 300L
    }
}
