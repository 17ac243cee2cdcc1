package gentiandale.relay.routing

import gentiandale.core.customer.CustomerName
import gentiandale.core.customer.CustomerQuota
import gentiandale.core.customer.KeyDigest

/** Unit in which the quota of a customer is stated. */
public enum class QuotaUnit {
    /** Each request costs 1. */
    REQUESTS,

    /** A request costs the tokens of its prompt and its longest answer. */
    TOKENS,
}

/**
 * A customer as the operator has configured it.
 *
 * @param urgency rank of its work, which replaces that of the route; null if the route's applies. 0 is the most urgent.
 * @param quota limit of its requests; null if there is none.
 * @param plainTokens cost in tokens of a request that states no token counts.
 */
public data class CustomerRule(
    val name: CustomerName,
    val keys: Set<KeyDigest>,
    val urgency: Int? = null,
    val quota: CustomerQuota? = null,
    val unit: QuotaUnit = QuotaUnit.REQUESTS,
    val plainTokens: Long = 0,
)

/** The customers of one configuration. No two of them share a key. */
public class CustomerDirectory(public val all: List<CustomerRule>) {
    private val byKey = HashMap<KeyDigest, CustomerRule>().apply {
        all.forEach { customer -> customer.keys.forEach { put(it, customer) } }
    }

    /** Returns the customer with [key], or null if there is none. */
    public fun find(key: KeyDigest): CustomerRule? = byKey[key]
}
