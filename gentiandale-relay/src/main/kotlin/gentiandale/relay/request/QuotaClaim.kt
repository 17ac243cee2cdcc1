package gentiandale.relay.request

import gentiandale.relay.QuotaDecided
import gentiandale.relay.label
import gentiandale.relay.quota.Admission
import gentiandale.relay.quota.QuotaStep
import gentiandale.relay.quota.RequestCost

/** What one request takes from the quota of its customer. */
internal class QuotaClaim(private val routed: RoutedRequest, private val context: RelayContext) {
    private var admission: Admission? = null
    private var question: Long? = null
    private var onAdmitted: (() -> Unit)? = null

    /** Calls [onStep] with the decision, at once or when the issuer has answered; not if there is no quota. */
    fun ask(onInvalid: (String) -> Unit, onStep: (QuotaStep) -> Unit) {
        val customer = routed.customer
        // The VM that took the request from its caller has asked for it.
        if (customer?.quota == null || routed.forwarded != null) return
        when (val cost = RequestCost.of(customer, context.dialect.tokenCounts(routed.headers))) {
            is RequestCost.Invalid -> {
                context.stats.onQuota(customer.name, "invalid")
                onInvalid(cost.reason)
            }
            is RequestCost.Known -> {
                val startMs = context.nowMs()
                val step = context.quotas.request(customer.name, cost.amount) {
                    decide(it, cost.amount, startMs, onStep)
                }
                if (step is QuotaStep.Ask) question = step.number else decide(step, cost.amount, startMs, onStep)
            }
        }
    }

    private fun decide(step: QuotaStep, cost: Long, startMs: Long, onStep: (QuotaStep) -> Unit) {
        val customer = routed.customer ?: return
        question = null
        if (step is QuotaStep.Admit) admission = step.admission
        val mode = context.quotas.modeOf(customer.name)
        val waitedMs = context.nowMs() - startMs
        context.log.write(
            QuotaDecided(routed.id, customer.name, cost, step, mode, waitedMs, context.quotas.ageMs),
        )
        context.stats.onQuota(customer.name, step.label)
        onStep(step)
    }

    /** Runs [step] when the request is admitted: at once if it is or if there is no quota. */
    fun whenAdmitted(step: () -> Unit) {
        if (question == null) step() else onAdmitted = step
    }

    /** Goes on with the request, which has been admitted. */
    fun resume() {
        onAdmitted?.invoke()
        onAdmitted = null
    }

    /** Ends the claim; what was taken is returned unless the request [hasRun]. */
    fun release(hasRun: Boolean) {
        question?.let(context.quotas::cancel)
        question = null
        onAdmitted = null
        if (!hasRun) admission?.let(context.quotas::giveBack)
        admission = null
    }
}
