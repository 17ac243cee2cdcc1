package gentiandale.relay.request

import gentiandale.core.backend.ServiceName
import gentiandale.core.customer.KeyDigest
import gentiandale.relay.caller.HttpServerReply
import gentiandale.relay.caller.HttpServerRequest
import gentiandale.relay.forward.ForwardedRequest
import gentiandale.relay.routing.CustomerRule
import gentiandale.relay.routing.RouteRule
import gentiandale.relay.routing.RoutingTable
import gentiandale.relay.routing.ServiceRule
import gentiandale.relay.routing.drawService
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlin.random.Random

/**
 * A request of a caller with the route and service chosen for it.
 *
 * @param headers end-to-end headers to forward, without those that only this system may set.
 * @param table routing table that matched.
 * @param customer customer that has sent the request, or null if its route needs no key.
 * @param key digest of the key with which the request came, or null if its route needs none.
 * @param forwarded what the entry VM that has forwarded the request tells about it, or null if it came from a caller.
 * @param deadlineMs monotonic time in milliseconds by which the final answer is due.
 */
internal data class RoutedRequest(
    val request: HttpServerRequest,
    val reply: HttpServerReply,
    val headers: HttpHeaders,
    val id: String?,
    val route: RouteRule,
    val table: RoutingTable,
    val service: ServiceName,
    val deadlineMs: Long,
    val forwarded: ForwardedRequest? = null,
    val customer: CustomerRule? = null,
    val key: KeyDigest? = null,
) {
    /** Version of the routing table. */
    val version: Long get() = table.version

    /** Rank of the request: that of its customer, or else that of its route. 0 is the most urgent. */
    val urgency: Int get() = customer?.urgency ?: route.urgency

    /** Rule of the service, or null if the routing table has none. */
    val rule: ServiceRule? get() = table.service(service)

    /**
     * Returns the request as [newer] routes it, or null if its caller has to send it again: there is no route of the
     * same kind, or its customer is not the same.
     */
    fun movedTo(newer: RoutingTable, random: Random): RoutedRequest? {
        val next = newer.find(request.headers.get(HttpHeaderNames.HOST).orEmpty(), request.target) ?: return null
        val isSameKind =
            next.stream == route.stream && next.repetition == route.repetition && next.isOpen == route.isOpen
        val isSameCustomer = key?.let { newer.customers?.find(it) }?.name == customer?.name &&
            (newer.customers == null) == (table.customers == null)
        if (!isSameKind || !isSameCustomer) return null
        // The VM that has forwarded the request counts its attempts.
        val maxAttempts = if (forwarded == null) next.maxAttempts else 1
        return copy(
            table = newer,
            route = next.copy(maxAttempts = maxAttempts),
            service = next.drawService(random),
            deadlineMs = minOf(deadlineMs, request.startMs + next.timeoutMs),
        )
    }
}
