package gentiandale.relay.routing

import gentiandale.core.customer.ConfigurationLease
import gentiandale.core.customer.KeyDigest

/** Whether a request of a customer may be sent to a server. */
internal sealed interface AccessVerdict {
    /** It may be sent. */
    data object Allowed : AccessVerdict

    /** This VM can't tell whether its key is still valid. */
    data object Outdated : AccessVerdict

    /** Its key was revoked by the configuration [version], or now belongs to another customer. */
    data class Revoked(val version: Long) : AccessVerdict
}

/** Checks before each send whether the key of a request is still valid. */
internal class CustomerAccess(private val table: () -> RoutingTable?) {
    /** Lease under which requests of customers are served; null if they need none. */
    var lease: ConfigurationLease? = null

    /** Whether the table in force may be used for requests that need a key. */
    val isCurrent: Boolean
        get() = lease?.isValid(table()?.version ?: 0) ?: true

    /** Returns whether a request of [customer], which came with [key], may be sent; both are null if it needs none. */
    fun verdict(customer: CustomerRule?, key: KeyDigest?): AccessVerdict {
        if (lease == null || customer == null || key == null) return AccessVerdict.Allowed
        val current = table()
        val customers = current?.customers
        return when {
            !isCurrent -> AccessVerdict.Outdated
            customers == null || customers.find(key)?.name == customer.name -> AccessVerdict.Allowed
            else -> AccessVerdict.Revoked(current.version)
        }
    }
}
