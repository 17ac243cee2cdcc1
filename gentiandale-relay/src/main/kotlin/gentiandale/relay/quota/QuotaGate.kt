package gentiandale.relay.quota

import gentiandale.core.customer.CustomerName
import gentiandale.core.customer.CustomerQuota
import gentiandale.core.customer.QuotaAnswer
import gentiandale.core.customer.QuotaBounds
import gentiandale.core.customer.QuotaQuestion
import gentiandale.core.customer.QuotaReport
import gentiandale.core.customer.QuotaUse
import gentiandale.core.customer.QuotaVerdict
import kotlin.math.ceil
import kotlin.random.Random

/** A decision about the question [number], and the [QuotaStep] that is taken. */
public data class QuotaDecision(val number: Long, val step: QuotaStep)

/**
 * Decides on one entry VM which requests of customers run. While a customer is relaxed, the VM admits requests at once
 * and reports them; it asks the issuer beyond an allowance, so that all VMs together never have more unreported usage
 * than half of the burst. While a customer is strict, it asks for each request. Not thread-safe.
 *
 * @param process random number of this process, not 0.
 */
public class QuotaGate(
    private val process: Int,
    private val bounds: QuotaBounds = QuotaBounds(),
    private val random: Random = Random.Default,
) {
    private class Question(val account: QuotaAccount, val cost: Long, val askedMs: Long, var sends: Int = 0)

    private class Snapshot(val number: Long, val usages: Map<CustomerName, QuotaAccount.Usage>)

    private val accounts = LinkedHashMap<CustomerName, QuotaAccount>()
    private val open = LinkedHashMap<Long, Question>()
    private val snapshots = ArrayDeque<Snapshot>()
    private var lastQuestion = 0L
    private var lastReport = 0L
    private var lastReportMs = Long.MIN_VALUE / 2
    private var reportedSettled = 1L
    private var heardMs = Long.MIN_VALUE / 2
    private var isIssuing = false
    private var isSuspect = false
    private var strict = emptyList<CustomerName>()

    /** Number of entry VMs that share the quotas. */
    public var entryVms: Int = 1
        set(value) {
            field = value.coerceAtLeast(1)
        }

    /** Whether any customer has a quota. */
    public val isActive: Boolean get() = accounts.isNotEmpty()

    /** Sets the [quotas] of the configuration in force; usage of customers that remain is kept. */
    public fun update(quotas: List<CustomerQuota>) {
        accounts.keys.retainAll(quotas.mapTo(HashSet()) { it.name })
        quotas.forEach { quota -> accounts.getOrPut(quota.name) { QuotaAccount(quota) }.quota = quota }
        applyModes()
    }

    /** Returns whether [customer] is strict, as far as this VM knows. */
    public fun isStrict(customer: CustomerName): Boolean = accounts[customer]?.isStrict ?: false

    /** Returns the milliseconds since the last message of an issuer, or null if there was none. */
    public fun ageMs(nowMs: Long): Long? = (nowMs - heardMs).takeIf { heardMs >= 0 }

    /** Returns whether the issuer is not reached at [nowMs]. */
    public fun isFallback(nowMs: Long): Boolean = !isIssuing || isSuspect || nowMs - heardMs > ISSUER_TIMEOUT_MS

    /** Decides about a request of [customer] that costs [cost]. */
    public fun request(customer: CustomerName, cost: Long, nowMs: Long): QuotaStep {
        val account = accounts[customer]
        return when {
            account == null || cost <= 0 -> QuotaStep.Admit(Admission(customer, 0, AdmissionKind.RELAXED))
            isFallback(nowMs) -> fallback(account, cost, nowMs)
            nowMs < account.closedUntilMs -> QuotaStep.Deny(closedMs(account, cost, nowMs))
            !account.isStrict && account.unconfirmed + cost <= allowance(account) ->
                admit(account, cost, AdmissionKind.RELAXED)
            else -> {
                open[++lastQuestion] = Question(account, cost, nowMs)
                QuotaStep.Ask(lastQuestion)
            }
        }
    }

    /** Time until a closed gate admits a request of [cost]: until the balance is positive, and what is missing then. */
    private fun closedMs(account: QuotaAccount, cost: Long, nowMs: Long): Long {
        val missing = (cost - bounds.debt(account.quota)).coerceIn(0.0, account.quota.burst.coerceAtLeast(0.0))
        return toMs(account.closedUntilMs - nowMs + missing * MS_PER_S / account.quota.perSecond)
    }

    private fun admit(account: QuotaAccount, cost: Long, kind: AdmissionKind): QuotaStep.Admit {
        account.add(cost, kind)
        return QuotaStep.Admit(Admission(account.quota.name, cost, kind))
    }

    private fun allowance(account: QuotaAccount) = account.quota.burst / 2 / entryVms

    private fun fallback(account: QuotaAccount, cost: Long, nowMs: Long): QuotaStep {
        if (account.isStrict) return QuotaStep.Refuse(FALLBACK_RETRY_MS)
        val perMs = account.quota.perSecond / MS_PER_S / entryVms
        val waitMs = account.takeShare(cost, perMs, account.quota.burst / entryVms, nowMs, random)
        return if (waitMs > 0) QuotaStep.Refuse(FALLBACK_RETRY_MS) else admit(account, cost, AdmissionKind.FALLBACK)
    }

    /** Withdraws the question [number], whose request has ended. */
    public fun cancel(number: Long) {
        open -= number
    }

    /** Returns what was taken for a request that has not run. */
    public fun giveBack(admission: Admission) {
        accounts[admission.customer]?.remove(admission.cost, admission.kind)
    }

    /** Handles [answer], which has arrived at [nowMs], and returns the decisions about open questions. */
    public fun receive(answer: QuotaAnswer, nowMs: Long): List<QuotaDecision> {
        if (answer.process != 0 && answer.process != process) return emptyList()
        if (!answer.isIssuing) {
            isIssuing = false
            return open.keys.toList().map { QuotaDecision(it, expire(it, nowMs)) }
        }
        if (isFallback(nowMs)) accounts.values.forEach { it.endShare() }
        heardMs = nowMs
        isSuspect = false
        isIssuing = true
        if (answer.process == process) confirm(answer.heard)
        answer.strict?.let {
            strict = it
            applyModes()
        }
        return answer.verdicts.mapNotNull { verdict ->
            open.remove(verdict.number)?.let { QuotaDecision(verdict.number, decide(it, verdict, nowMs)) }
        }
    }

    private fun decide(question: Question, verdict: QuotaVerdict, nowMs: Long): QuotaStep {
        val account = question.account
        if (!verdict.isKnown) return fallback(account, question.cost, nowMs)
        if (verdict.isGranted) return admit(account, question.cost, AdmissionKind.GRANTED)
        if (verdict.closedMs > 0) account.closedUntilMs = nowMs + verdict.closedMs
        return QuotaStep.Deny(verdict.waitMs)
    }

    private fun applyModes() = accounts.forEach { (name, account) -> account.isStrict = name in strict }

    private fun confirm(number: Long) {
        val heard = snapshots.find { it.number == number } ?: return
        // A report contains the usage of all customers that were not confirmed; the others have not changed.
        heard.usages.forEach { (name, usage) -> accounts[name]?.confirmed = usage }
        while (snapshots.isNotEmpty() && snapshots.first().number <= number) snapshots.removeFirst()
    }

    private fun expire(number: Long, nowMs: Long): QuotaStep {
        val question = open.remove(number) ?: return QuotaStep.Refuse(FALLBACK_RETRY_MS)
        return fallback(question.account, question.cost, nowMs)
    }

    /** Returns the decisions about questions that the issuer has not answered by [nowMs]. */
    public fun expire(nowMs: Long): List<QuotaDecision> {
        val late = open.filterValues { nowMs - it.askedMs >= ANSWER_TIMEOUT_MS }.keys.toList()
        if (late.isNotEmpty()) isSuspect = true
        return late.map { QuotaDecision(it, expire(it, nowMs)) }
    }

    /** Returns the report that is due at [nowMs], or null. */
    public fun report(nowMs: Long): QuotaReport? {
        if (!isActive) return null
        val asked = open.filterValues { it.sends == 0 || it.sends == 1 && nowMs - it.askedMs >= RESEND_MS }
        val sinceMs = nowMs - lastReportMs
        val isSilent = isFallback(nowMs) || nowMs - heardMs > STATUS_TIMEOUT_MS
        val isUrgent = sinceMs >= REPORT_MS && (isSilent || accounts.values.any(::isUrgent))
        val isRegular = sinceMs >= SLOW_REPORT_MS && (settled() > reportedSettled || accounts.values.any(::isChanged))
        if (asked.isEmpty() && !isUrgent && !isRegular) return null
        asked.values.forEach { it.sends++ }
        val questions = asked.map { (number, it) -> QuotaQuestion(number, it.account.quota.name, it.cost) }
        return report(questions, isUrgent, nowMs)
    }

    private fun isUrgent(account: QuotaAccount) =
        !account.isStrict && account.unconfirmed > 0 && account.unconfirmed >= allowance(account) / 2

    private fun isChanged(account: QuotaAccount) = account.usage != account.confirmed

    private fun settled() = open.keys.firstOrNull() ?: (lastQuestion + 1)

    private fun report(questions: List<QuotaQuestion>, wantsAnswer: Boolean, nowMs: Long): QuotaReport {
        lastReport++
        lastReportMs = nowMs
        reportedSettled = settled()
        val changed = accounts.values.filter(::isChanged)
        snapshots += Snapshot(lastReport, changed.associate { it.quota.name to it.usage })
        if (snapshots.size > MAX_SNAPSHOTS) snapshots.removeFirst()
        return QuotaReport(
            process,
            lastReport,
            reportedSettled,
            changed.map { QuotaUse(it.quota.name, it.usage.used, it.recent) },
            questions,
            QuotaAnswer.digest(strict),
            wantsAnswer,
        )
    }

    private fun toMs(value: Double) = ceil(value).coerceIn(1.0, MAX_WAIT_MS).toLong()

    /** Time limits of a gate. */
    public companion object {
        /** Interval in milliseconds at which [report] and [expire] must be called while there are quotas. */
        public const val REPORT_MS: Long = 100

        /** Time in milliseconds after which [report] repeats a question; a lost message then costs no refusal. */
        public const val RESEND_MS: Long = 25

        /** Time in milliseconds after which [expire] decides without an answer: a few round trips. */
        public const val ANSWER_TIMEOUT_MS: Long = 60

        /** Interval of reports while usage is far below the allowance, to bound the traffic. */
        private const val SLOW_REPORT_MS = 500L

        /** A status is due every 500 ms; later the VM asks for one, also through other control VMs. */
        private const val STATUS_TIMEOUT_MS = 600L

        /** Without a message of an issuer for this time its modes are out of date. */
        private const val ISSUER_TIMEOUT_MS = 1_000L

        /** The next issuer or another VM usually answers after this time. */
        private const val FALLBACK_RETRY_MS = 300L
        private const val MS_PER_S = 1_000.0

        /** A day: the quota may be a tiny fraction a second. */
        private const val MAX_WAIT_MS = 86_400_000.0

        /** Reports of three seconds at the shortest interval. */
        private const val MAX_SNAPSHOTS = 32
    }
}
