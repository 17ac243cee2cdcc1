package gentiandale.relay.quota

import gentiandale.core.customer.CustomerName

/** How a request was admitted, which decides how its usage is accounted. */
public enum class AdmissionKind {
    /** At once, from the allowance of a relaxed customer. */
    RELAXED,

    /** By the issuer. */
    GRANTED,

    /** From the share of this VM, as the issuer is not reached. */
    FALLBACK,
}

/** The right of one request of [customer] to run, for which [cost] was taken. */
public data class Admission(val customer: CustomerName, val cost: Long, val kind: AdmissionKind)

/** Decision about one request under the quota of its customer. */
public sealed interface QuotaStep {
    /** The request may run. */
    public data class Admit(val admission: Admission) : QuotaStep

    /** The issuer is asked; its answer belongs to [number]. */
    public data class Ask(val number: Long) : QuotaStep

    /** The quota is used up; a retry after [retryAfterMs] milliseconds is admitted. */
    public data class Deny(val retryAfterMs: Long) : QuotaStep

    /** The issuer is not reached and this VM must not admit more; another VM may. */
    public data class Refuse(val retryAfterMs: Long) : QuotaStep
}
