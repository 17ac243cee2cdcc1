package gentiandale.relay.life

import gentiandale.core.backend.ServiceName
import gentiandale.relay.caller.CallerReply
import gentiandale.relay.caller.CallerRequest
import gentiandale.relay.routing.RouteRule
import gentiandale.relay.routing.ServiceRule
import io.netty.handler.codec.http.HttpHeaders

/**
 * A request that has a route.
 *
 * @param headers what is passed on to servers, without what the system sets itself.
 * @param version version of the routing table that decided.
 * @param deadlineMs monotonic time in milliseconds at which the final answer is due.
 */
internal data class RoutedRequest(
    val request: CallerRequest,
    val reply: CallerReply,
    val headers: HttpHeaders,
    val id: String?,
    val route: RouteRule,
    val version: Long,
    val service: ServiceName,
    val rule: ServiceRule?,
    val deadlineMs: Long,
)
