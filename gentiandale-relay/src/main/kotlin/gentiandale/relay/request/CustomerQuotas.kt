package gentiandale.relay.request

import gentiandale.core.customer.CustomerName
import gentiandale.core.customer.CustomerQuota
import gentiandale.core.customer.QuotaAnswer
import gentiandale.core.customer.QuotaBounds
import gentiandale.relay.RelayListener
import gentiandale.relay.quota.Admission
import gentiandale.relay.quota.QuotaDecision
import gentiandale.relay.quota.QuotaGate
import gentiandale.relay.quota.QuotaStep
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Quotas of the customers on this VM: the gate with its timers, reports and waiting requests. */
internal class CustomerQuotas(
    private val loop: EventLoop,
    private val nowMs: () -> Long,
    private val listener: RelayListener,
    bounds: QuotaBounds,
    random: Random,
) {
    private val gate = QuotaGate(random.nextInt(1, Int.MAX_VALUE), bounds, random)
    private val waiting = HashMap<Long, (QuotaStep) -> Unit>()
    private var isTimerSet = false
    private var isReportDue = false

    /** Number of entry VMs that share the quotas. */
    var entryVms by gate::entryVms

    /** Time in milliseconds since the last message of an issuer, or null if there was none. */
    val ageMs: Long? get() = gate.ageMs(nowMs())

    /** Returns the mode of [customer] as far as this VM knows. */
    fun modeOf(customer: CustomerName): String = when {
        gate.isFallback(nowMs()) -> "fallback"
        gate.isStrict(customer) -> "strict"
        else -> "relaxed"
    }

    /** Sets the [quotas] of the configuration in force. */
    fun update(quotas: List<CustomerQuota>) {
        gate.update(quotas)
        if (!gate.isActive || isTimerSet) return
        isTimerSet = true
        loop.execute(::runTimer)
    }

    /** Sets the timer also after an error, without which usage would no longer be reported. */
    private fun runTimer() {
        try {
            tick()
        } finally {
            loop.schedule(::runTimer, QuotaGate.REPORT_MS, TimeUnit.MILLISECONDS)
        }
    }

    /** Decides about a request; if the issuer is asked, [done] is called with its answer, unless it is cancelled. */
    fun request(customer: CustomerName, cost: Long, done: (QuotaStep) -> Unit): QuotaStep {
        val step = gate.request(customer, cost, nowMs())
        if (step is QuotaStep.Ask) {
            waiting[step.number] = done
            reportSoon()
            listOf(QuotaGate.RESEND_MS, QuotaGate.ANSWER_TIMEOUT_MS).forEach { delayMs ->
                loop.schedule({ if (step.number in waiting) tick() }, delayMs, TimeUnit.MILLISECONDS)
            }
        }
        return step
    }

    /** Withdraws the question [number], whose request has ended. */
    fun cancel(number: Long) {
        waiting -= number
        gate.cancel(number)
    }

    /** Returns what was taken for a request that has not run. */
    fun giveBack(admission: Admission) = gate.giveBack(admission)

    /** Handles [answer] of an issuer. */
    fun receive(answer: QuotaAnswer) = complete(gate.receive(answer, nowMs()))

    /** Questions of requests that arrive together are sent together. */
    private fun reportSoon() {
        if (isReportDue) return
        isReportDue = true
        loop.execute {
            isReportDue = false
            report()
        }
    }

    private fun tick() {
        complete(gate.expire(nowMs()))
        report()
    }

    private fun report() {
        gate.report(nowMs())?.let(listener::onQuotaReport)
    }

    private fun complete(decisions: List<QuotaDecision>) =
        decisions.forEach { decision -> waiting.remove(decision.number)?.invoke(decision.step) }
}
