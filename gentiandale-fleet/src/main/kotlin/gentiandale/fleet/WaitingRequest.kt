package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.ServiceName
import gentiandale.core.capacity.CapacityRequest
import gentiandale.core.customer.CustomerName

/** Identifies a request among those of all entry VMs. */
internal data class RequestKey(val vm: VmId, val number: Long)

/** Whose work is compared: a customer's or, without customers, that of a route. */
internal data class ShareKey(val customer: CustomerName?, val route: String?)

/** A [request] of the entry VM [vm] that waits, with its times on the clock of this VM. */
internal class WaitingRequest(val vm: VmId, val request: CapacityRequest, nowMs: Long) {
    val key = RequestKey(vm, request.number)
    val share = ShareKey(request.customer, request.route.takeIf { request.customer == null })
    val startMs = nowMs - request.ageMs
    val dueMs = nowMs + request.targetMs
    val deadlineMs = nowMs + request.leftMs

    /** Work by which customers are compared: memory in tokens of a generation, milliseconds of a plain call. */
    val work = (if (request.tokens > 0) request.tokens.toLong() else request.durationMs).coerceAtLeast(1).toDouble()

    /** Grants to requests behind this one, for which there was not enough room. */
    var passed = 0

    /** Returns whether it can no longer be expected to meet its target. */
    fun isLate(nowMs: Long): Boolean = nowMs + request.durationMs * MARGIN > dueMs

    /** Returns whether its answer would come after its deadline. */
    fun isHopeless(nowMs: Long): Boolean = nowMs + request.durationMs > deadlineMs

    private companion object {
        /** Service times vary by half; a request granted at the last moment would be late as often as not. */
        const val MARGIN = 1.5
    }
}

/** Decision on a request of the entry VM [vm]. */
internal sealed class CapacityDecision {
    abstract val vm: VmId

    /** There is capacity at [server], or where the entry VM finds it if that is null. */
    data class Granted(
        override val vm: VmId,
        val number: Long,
        val server: ServerId?,
        val validMs: Long,
    ) : CapacityDecision()

    /** There will be no capacity in time. */
    data class Refused(
        override val vm: VmId,
        val number: Long,
        val reason: String,
        val retryAfterMs: Long,
    ) : CapacityDecision()

    /** There is no queue for [service]. */
    data class Declined(override val vm: VmId, val number: Long, val service: ServiceName) : CapacityDecision()
}
