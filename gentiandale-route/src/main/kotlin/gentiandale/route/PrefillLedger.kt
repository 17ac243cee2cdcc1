package gentiandale.route

import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerLoad

/** Accounts for the prefills assigned to a server, and learns its speed. */
internal class PrefillLedger(var facts: ServerFacts) {
    private class Prefill(val request: RequestId, val tokens: Double, val order: Int)

    private val assigned = ArrayList<Prefill>(2)
    private val speed = MovingMean(
        facts.prefillTokensPerSecond.takeIf { it > 0 } ?: DEFAULT_TOKENS_PER_SECOND,
        SPEED_WEIGHT,
    )
    private var assignedTokens = 0.0
    private var busySinceMs = 0L
    private var untrackedTokens = 0.0
    private var reportedMs = 0L

    /** Index of the server's data centre within its pool. */
    var dataCentre: Int = 0

    /** Back-off after failures of this server. */
    val cooldown = Cooldown()

    /** Number of requests running or queued on the server. */
    val size: Int get() = assigned.size

    /** Prompt tokens that the server prefills per millisecond. */
    val tokensPerMs: Double get() = speed.value / MS_PER_SECOND

    /** Requests running or queued on the server. */
    val requests: Set<RequestId> get() = assigned.mapTo(LinkedHashSet()) { it.request }

    /** Assigns a prefill of [tokens] tokens for a rank of [order] to the server. */
    fun add(request: RequestId, tokens: Double, order: Int, nowMs: Long) {
        if (assigned.isEmpty()) busySinceMs = nowMs
        assigned += Prefill(request, tokens, order)
        assignedTokens += tokens
    }

    /** Removes the prefill of [request], if it is assigned. */
    fun remove(request: RequestId, nowMs: Long) {
        val prefill = prefillOf(request) ?: return
        assigned -= prefill
        assignedTokens = if (assigned.isEmpty()) 0.0 else assignedTokens - prefill.tokens
        busySinceMs = nowMs
    }

    /** Removes the completed prefill of [request] and updates the learned speed. */
    fun complete(request: RequestId, cachedTokens: Int?, prefillTokens: Int, nowMs: Long) {
        val prefill = prefillOf(request) ?: return
        val tokens = cachedTokens?.let { (prefillTokens - it).toDouble() } ?: prefill.tokens
        val elapsedMs = nowMs - busySinceMs
        if (elapsedMs > 0 && tokens >= MIN_LEARNED_TOKENS) {
            val observed = tokens / elapsedMs * MS_PER_SECOND
            speed.add(observed.coerceIn(speed.value / MAX_SPEED_RATIO, speed.value * MAX_SPEED_RATIO))
        }
        remove(request, nowMs)
    }

    /** Reconciles the ledger with a report that may lag: only tokens beyond the assigned ones count as untracked. */
    fun reconcile(load: ServerLoad, nowMs: Long) {
        untrackedTokens = (load.queuedTokens - assignedTokens).coerceAtLeast(0.0)
        reportedMs = nowMs
    }

    /** Returns the number of requests on the server that a request of [order] does not overtake. */
    fun queuedAhead(order: Int): Int {
        var size = 0
        for (i in assigned.indices) if (assigned[i].order <= order) size++
        return size
    }

    /**
     * Returns the time until the server could start a prefill for a rank of [order], in milliseconds. The running
     * prefill is not interrupted; queued prefills of less urgent ranks are overtaken.
     */
    fun queueDelayMs(order: Int, nowMs: Long): Double {
        val untrackedMs =
            if (untrackedTokens > 0) (untrackedTokens / tokensPerMs - (nowMs - reportedMs)).coerceAtLeast(0.0) else 0.0
        if (assigned.isEmpty()) return untrackedMs
        val running = assigned[0]
        val runningMs = running.tokens / tokensPerMs
        val elapsedMs = (nowMs - busySinceMs).toDouble()
        val overdueMs = (elapsedMs - OVERDUE_FACTOR * runningMs - OVERDUE_MS).coerceAtLeast(0.0)
        var tokens = 0.0
        for (i in 1 until assigned.size) if (assigned[i].order <= order) tokens += assigned[i].tokens
        return untrackedMs + (runningMs - elapsedMs).coerceAtLeast(0.0) + tokens / tokensPerMs + overdueMs
    }

    private fun prefillOf(request: RequestId): Prefill? = assigned.firstOrNull { it.request == request }

    private companion object {
        const val DEFAULT_TOKENS_PER_SECOND = 10_000.0
        const val SPEED_WEIGHT = 0.1
        const val MIN_LEARNED_TOKENS = 200.0
        const val MAX_SPEED_RATIO = 2.0
        const val MS_PER_SECOND = 1_000.0
        const val OVERDUE_FACTOR = 2.0
        const val OVERDUE_MS = 100.0
    }
}
