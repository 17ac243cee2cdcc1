package gentiandale.daemon.request

import gentiandale.core.RequestId
import gentiandale.route.RequestEvent
import gentiandale.route.RouteRequest

/** Listener to the submissions, progress and refusals of the requests of a [Dispatcher]. Calls must not block. */
internal interface RequestListener {
    /** Called before [request] is submitted to the routing policy. */
    fun submitted(request: RouteRequest) = Unit

    /** Called before [event] is reported to the routing policy. */
    fun progressed(event: RequestEvent) = Unit

    /** Called when the routing policy has refused [request]. */
    fun refused(request: RequestId) = Unit
}
