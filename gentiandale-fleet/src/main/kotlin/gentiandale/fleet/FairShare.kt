package gentiandale.fleet

import kotlin.math.pow

/**
 * Work granted lately to each customer or route; the one with the least is served first. Answers the load in which one
 * of them sends several times its usual requests or repeats refused ones at once: its requests wait for each other.
 */
internal class FairShare {
    private class Account(var work: Double, var atMs: Long)

    private val accounts = HashMap<ShareKey, Account>()
    private var meanWork = 0.0

    /** Returns the work granted lately to [key]. */
    fun work(key: ShareKey, nowMs: Long): Double = accounts[key]?.let { decayed(it, nowMs) } ?: 0.0

    /** Records that [work] was granted to [key]. */
    fun add(key: ShareKey, work: Double, nowMs: Long) {
        meanWork = if (meanWork == 0.0) work else meanWork + (work - meanWork) * MEAN_WEIGHT
        set(key, work(key, nowMs) + work.coerceAtMost(meanWork * MAX_WORK_IN_MEANS), nowMs)
    }

    /**
     * Records that [key] begins to wait beside [waiting]. It starts with no less work than the least of those, so that
     * it gets no more than an equal share from now on, however long it was idle.
     */
    fun join(key: ShareKey, waiting: Collection<ShareKey>, nowMs: Long) {
        val least = waiting.minOfOrNull { work(it, nowMs) } ?: return
        if (work(key, nowMs) < least) set(key, least, nowMs)
    }

    /** Forgets those whose work no longer matters. */
    fun tick(nowMs: Long) {
        accounts.values.removeIf { nowMs - it.atMs > FORGET_MS }
    }

    private fun set(key: ShareKey, work: Double, nowMs: Long) {
        val account = accounts.getOrPut(key) { Account(0.0, nowMs) }
        account.work = work
        account.atMs = nowMs
    }

    private fun decayed(account: Account, nowMs: Long) =
        account.work * 2.0.pow(-(nowMs - account.atMs).toDouble() / HALF_LIFE_MS)

    private companion object {
        const val HALF_LIFE_MS = 5_000.0

        /** Twelve half-lives. */
        const val FORGET_MS = 60_000L

        /** About the last 50 grants. */
        const val MEAN_WEIGHT = 0.02

        /**
         * A request counts as no more than this many usual ones. Without a limit, a customer whose prompts are six
         * times as long as usual is served a sixth as often, below the bound of a quarter.
         */
        const val MAX_WORK_IN_MEANS = 3.0
    }
}
