package gentiandale.relay.upstream

import gentiandale.core.customer.CustomerName
import io.netty.handler.codec.http.HttpHeaders

/** Headers of requests by which customers identify themselves, and by which servers get to know them. */
public interface CustomerDialect {
    /** Returns the values of all headers in which the caller states the key of a customer. */
    public fun customerKeys(headers: HttpHeaders): List<String>

    /** Removes the key of a customer and the name of a customer. */
    public fun removeCustomer(headers: HttpHeaders)

    /** Tells the server the [customer] that has sent the request. */
    public fun setCustomer(headers: HttpHeaders, customer: CustomerName)
}
