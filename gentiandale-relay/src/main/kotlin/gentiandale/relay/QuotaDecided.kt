package gentiandale.relay

import gentiandale.core.customer.CustomerName
import gentiandale.core.log.LogLine
import gentiandale.relay.quota.AdmissionKind
import gentiandale.relay.quota.QuotaStep

/** How a request fared under the quota of its customer, as metrics and logs name it. */
internal val QuotaStep.label: String
    get() = when (this) {
        is QuotaStep.Admit -> when (admission.kind) {
            AdmissionKind.RELAXED -> "admitted"
            AdmissionKind.GRANTED -> "granted"
            AdmissionKind.FALLBACK -> "admitted-in-fallback"
        }
        is QuotaStep.Ask -> "asked"
        is QuotaStep.Deny -> "denied"
        is QuotaStep.Refuse -> "refused-in-fallback"
    }

/**
 * The quota of [customer] has admitted, denied or refused [request].
 *
 * @param mode whether the issuer is asked for each request of the customer, as far as this VM knows.
 * @param waitedMs time in milliseconds for which the request has waited for the answer of the issuer.
 * @param ageMs time in milliseconds since the last message of the issuer, or null if there was none.
 */
internal class QuotaDecided(
    private val request: String?,
    private val customer: CustomerName,
    private val cost: Long,
    private val step: QuotaStep,
    private val mode: String,
    private val waitedMs: Long,
    private val ageMs: Long?,
) : RelayEvent("quota") {
    override val isFailure: Boolean get() = step is QuotaStep.Deny || step is QuotaStep.Refuse

    override fun describe(line: LogLine) {
        val retryMs = when (step) {
            is QuotaStep.Deny -> step.retryAfterMs
            is QuotaStep.Refuse -> step.retryAfterMs
            is QuotaStep.Admit, is QuotaStep.Ask -> null
        }
        line.field("request", request).field("customer", customer.value).field("cost", cost)
            .field("decision", step.label).field("mode", mode).field("waited_ms", waitedMs)
            .field("retry_ms", retryMs).field("issuer_age_ms", ageMs)
    }
}
