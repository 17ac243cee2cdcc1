package gentiandale.fleet

import gentiandale.core.VmId
import gentiandale.core.customer.CustomerName
import gentiandale.core.customer.CustomerQuota
import gentiandale.core.customer.QuotaAnswer
import gentiandale.core.customer.QuotaBounds
import gentiandale.core.customer.QuotaLevel
import gentiandale.core.customer.QuotaQuestion
import gentiandale.core.customer.QuotaReport
import gentiandale.core.customer.QuotaVerdict
import kotlin.math.ceil

/** What is left of the quota of [customer], of which [burst] can be left at most, and its mode. */
public data class QuotaStanding(
    val customer: CustomerName,
    val level: Double,
    val burst: Double,
    val isStrict: Boolean,
)

/**
 * Decides which requests of customers run on all entry VMs together. Each customer has a token bucket. What an entry VM
 * is charged with is the usage that it has reported last plus the grants that this report does not cover yet, so that a
 * grant whose answer is lost is returned with the next report.
 *
 * @param gossiped balances that the previous issuer has stated; a bucket starts with no more than that.
 */
internal class QuotaIssuer(
    private val bounds: QuotaBounds,
    quotas: List<CustomerQuota>,
    gossiped: Map<CustomerName, Long>,
    private val startedMs: Long,
) {
    private class Grant(val customer: CustomerName, val cost: Long)

    private class Reporter(val process: Int) {
        var number = 0L
        var settled = 0L
        var seenMs = 0L
        val used = HashMap<CustomerName, Long>()
        val grants = HashMap<Long, Grant>()
    }

    private inner class Bucket(var quota: CustomerQuota, var level: Double, var refilledMs: Long) {
        var isStrict = level <= quota.burst / 2
        private var changedMs = refilledMs
        private var lastTurnMs = 0.0

        fun refill(nowMs: Long) {
            val elapsedMs = (nowMs - refilledMs).coerceAtLeast(0)
            level = minOf(quota.burst, level + quota.perSecond * elapsedMs / MS_PER_S)
            refilledMs = maxOf(refilledMs, nowMs)
        }

        fun charge(cost: Long) {
            level = minOf(quota.burst, level - cost)
        }

        /** Returns whether [cost] may run. A rounding error must not deny a retry that comes at its stated time. */
        fun fits(cost: Long): Boolean {
            val perMs = quota.perSecond / MS_PER_S
            return level - cost >= -bounds.debt(quota) - perMs || level >= quota.burst - perMs
        }

        /** Returns the verdict about a request that does not fit. Requests that are denied get turns one by one. */
        fun deny(question: QuotaQuestion, nowMs: Long): QuotaVerdict {
            val needed = minOf(question.cost - bounds.debt(quota), quota.burst)
            val soonestMs = nowMs + (needed - level).coerceAtLeast(0.0) * MS_PER_S / quota.perSecond
            val turnMs = maxOf(soonestMs, lastTurnMs + question.cost * MS_PER_S / quota.perSecond)
            lastTurnMs = minOf(turnMs, soonestMs + MAX_QUEUE_MS)
            val closedMs = (-level).coerceAtLeast(0.0) * MS_PER_S / quota.perSecond
            return QuotaVerdict(question.number, toMs(lastTurnMs - nowMs).coerceAtLeast(1), toMs(closedMs))
        }

        private fun toMs(value: Double) = ceil(value).coerceAtMost(MAX_WAIT_MS).toLong()

        /** Returns whether the mode has changed. */
        fun updateMode(nowMs: Long): Boolean {
            val isDue = nowMs - changedMs >= MIN_STRICT_MS
            val next = if (isStrict) !(isDue && level > quota.burst * RELAXED_SHARE) else level <= quota.burst / 2
            val isChanged = next != isStrict
            if (isChanged) changedMs = nowMs
            isStrict = next
            return isChanged
        }
    }

    private val buckets = LinkedHashMap<CustomerName, Bucket>()
    private val reporters = HashMap<Pair<VmId, Int>, Reporter>()
    private val latest = HashMap<VmId, Reporter>()

    init {
        quotas.forEach { quota ->
            val initial = minOf(quota.burst / INITIAL_DIVISOR, gossiped[quota.name]?.toDouble() ?: Double.MAX_VALUE)
            buckets[quota.name] = Bucket(quota, initial, startedMs)
        }
    }

    /** Customers that are strict, in a fixed order. */
    val strict: List<CustomerName> get() = buckets.values.filter { it.isStrict }.map { it.quota.name }

    /** Balances of all customers. */
    val levels: List<QuotaLevel> get() = buckets.values.map { QuotaLevel(it.quota.name, it.level.toLong()) }

    /** Balances, limits and modes of all customers. */
    val standings: List<QuotaStanding>
        get() = buckets.values.map { QuotaStanding(it.quota.name, it.level, it.quota.burst, it.isStrict) }

    /** Sets the [quotas] at [nowMs]. Balances above a lowered burst are cut; a new customer starts with its burst. */
    fun update(quotas: List<CustomerQuota>, nowMs: Long) {
        buckets.keys.retainAll(quotas.mapTo(HashSet()) { it.name })
        quotas.forEach { quota ->
            val bucket = buckets.getOrPut(quota.name) { Bucket(quota, quota.burst, nowMs) }
            bucket.refill(nowMs)
            bucket.quota = quota
            bucket.level = minOf(bucket.level, quota.burst)
        }
    }

    /**
     * Lowers the balances at [nowMs] to those of another issuer, which stops as this one has begun. Its last statement
     * may arrive a moment after that.
     */
    fun adopt(others: List<QuotaLevel>, nowMs: Long) {
        if (nowMs - startedMs > HANDOVER_MS) return
        others.forEach { other -> buckets[other.customer]?.let { it.level = minOf(it.level, other.level.toDouble()) } }
    }

    /** Handles the [report] of [vm], and returns the answer, or null if none is needed. */
    fun receive(vm: VmId, report: QuotaReport, nowMs: Long): QuotaAnswer? {
        val reporter = reporters.getOrPut(vm to report.process) { Reporter(report.process).also { latest[vm] = it } }
        reporter.seenMs = nowMs
        buckets.values.forEach { it.refill(nowMs) }
        if (report.number > reporter.number) record(reporter, report)
        val verdicts = report.questions.filter { it.number >= reporter.settled }.map { decide(reporter, it, nowMs) }
        if (verdicts.isEmpty() && !report.wantsAnswer) return null
        val isKnown = report.modes == QuotaAnswer.digest(strict)
        return QuotaAnswer(report.process, reporter.number, verdicts, if (isKnown) null else strict)
    }

    private fun record(reporter: Reporter, report: QuotaReport) {
        reporter.number = report.number
        report.uses.forEach { use ->
            val before = reporter.used.put(use.customer, use.used)
            buckets[use.customer]?.charge(if (before == null) use.recent else use.used - before)
        }
        if (report.settled <= reporter.settled) return
        reporter.settled = report.settled
        val closed = reporter.grants.filterKeys { it < report.settled }
        closed.values.forEach { buckets[it.customer]?.charge(-it.cost) }
        reporter.grants -= closed.keys
    }

    private fun decide(reporter: Reporter, question: QuotaQuestion, nowMs: Long): QuotaVerdict {
        val bucket = buckets[question.customer] ?: return QuotaVerdict(question.number, isKnown = false)
        if (question.number in reporter.grants) return QuotaVerdict(question.number)
        val cost = question.cost.coerceAtLeast(0)
        if (!bucket.fits(cost)) return bucket.deny(question, nowMs)
        bucket.charge(cost)
        reporter.grants[question.number] = Grant(question.customer, cost)
        return QuotaVerdict(question.number)
    }

    /** Returns the periodic message to [vm]. */
    fun status(vm: VmId): QuotaAnswer {
        val reporter = latest[vm] ?: return QuotaAnswer(strict = strict)
        return QuotaAnswer(reporter.process, reporter.number, strict = strict)
    }

    /** Updates balances and modes to [nowMs], and returns the customers whose mode has changed. */
    fun tick(nowMs: Long): List<QuotaStanding> {
        if (reporters.values.removeIf { nowMs - it.seenMs > RETENTION_MS }) {
            latest.values.removeIf { nowMs - it.seenMs > RETENTION_MS }
        }
        return buckets.values.filter {
            it.refill(nowMs)
            it.updateMode(nowMs)
        }.map { QuotaStanding(it.quota.name, it.level, it.quota.burst, it.isStrict) }
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** A new issuer does not know what was used since the last gossip; a quarter bounds the excess. */
        const val INITIAL_DIVISOR = 4

        /** Above this share of the burst a strict customer is relaxed again. */
        const val RELAXED_SHARE = 0.9

        /** Bounds the number of mode changes, each of which is sent to all entry VMs. */
        const val MIN_STRICT_MS = 200L

        /** Bounds the times to retry that callers are told who don't heed them. */
        const val MAX_QUEUE_MS = 1_000.0

        /** A day: the quota may be a tiny fraction a second. */
        const val MAX_WAIT_MS = 86_400_000.0

        /** Two gossip intervals. */
        const val HANDOVER_MS = 1_000L

        /** Longer than any partition for which the counters of an entry VM must be known when it returns. */
        const val RETENTION_MS = 600_000L
    }
}
