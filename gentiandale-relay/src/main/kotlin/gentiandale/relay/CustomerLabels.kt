package gentiandale.relay

import gentiandale.core.customer.CustomerName

/** Labels of customers in metrics. Their number is bounded, since each label costs memory on every VM. */
public class CustomerLabels {
    private val named = HashSet<CustomerName>()

    /** Returns the name of [customer] if it is among the first [MAX_NAMED] that were seen, and [OTHER] otherwise. */
    public fun labelOf(customer: CustomerName): String {
        if (customer !in named && named.size >= MAX_NAMED) return OTHER
        named += customer
        return customer.value
    }

    private companion object {
        const val MAX_NAMED = 64
        const val OTHER = "other"
    }
}
