package gentiandale.relay.request

import gentiandale.core.ServerKind
import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.ServerProcess
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.StreamId
import gentiandale.core.backend.StreamOrigin
import gentiandale.relay.RelayEvent
import gentiandale.relay.StreamStarts
import gentiandale.relay.backend.Backend
import gentiandale.relay.placement.IncarnationCheck
import gentiandale.relay.placement.IncarnationPolicy
import gentiandale.relay.placement.TakeUp
import gentiandale.relay.placement.TakeUpPolicy
import gentiandale.relay.routing.Repetition
import java.util.concurrent.TimeUnit

/**
 * The servers at which the stream of one request may go on: once it has begun, those of the same service and software
 * version.
 *
 * @param lastEvent id of the last event that the caller has received on an earlier connection, or null.
 */
internal class StreamContinuity(
    private val routed: RoutedRequest,
    private val context: RelayContext,
    private val lastEvent: String?,
) {
    private val isResumable = routed.route.repetition == Repetition.RESUMABLE
    private val firstRequest = context.dialect.firstRequestId(routed.headers)
    private val isTakenUp = isResumable && (firstRequest != null || lastEvent != null)
    private val stream = (if (isTakenUp) firstRequest else routed.id)?.let(StreamId::of)
    private var origin: StreamOrigin? = null
    private var isNoted = false
    private var hasWaited = false

    /** Whether the caller takes up a stream of which the origin is not known yet. */
    val isOriginDue: Boolean get() = isTakenUp && origin == null

    /** Finds the origin of the stream, when it is certain, and calls [done] with what is to be done about it. */
    fun findOrigin(done: (TakeUp) -> Unit): Unit = context.origins.find(stream, routed.service) { lookup ->
        val unsettledMs = (lookup as? OriginLookup.Found)?.unsettledMs ?: 0
        if (unsettledMs > 0 && !hasWaited && isMixed(routed.service)) {
            hasWaited = true
            context.loop.schedule({ findOrigin(done) }, unsettledMs, TimeUnit.MILLISECONDS)
        } else {
            done(decide(lookup))
        }
    }

    /** Returns whether servers of [service] may run another software version than their rows tell. */
    private fun isMixed(service: ServiceName) =
        IncarnationPolicy.isMixed(context.registry.versions(setOf(service)).size, context.listener.isViewCurrent)

    private fun decide(lookup: OriginLookup): TakeUp {
        val services = routed.route.shares.filter { it.weight > 0 }.mapTo(HashSet()) { it.service }
        val decision = TakeUpPolicy.next(lookup, services, context.registry.versions(services))
        val waitedMs = context.nowMs() - routed.request.startMs
        context.log.write(RelayEvent.TakenUp(routed.id, firstRequest, lastEvent, decision, waitedMs))
        context.stats.onTakenUp(decision.label)
        if (decision is TakeUp.GoOn) origin = decision.origin
        return decision
    }

    /** Records the origin of the stream when [server] of [service] has sent an event. */
    fun onEvent(server: Backend, service: ServiceName) {
        if (isNoted) return
        isNoted = true
        val begun = origin ?: StreamOrigin(service, server.row.software)
        origin = begun
        if (!isResumable) return
        if (!isTakenUp) context.log.write(RelayEvent.StreamBegun(routed.id, server.row.id, begun.software))
        val process = ServerProcess(server.row.id, server.row.incarnation).takeIf { !isTakenUp }
        val starts = StreamStarts(begun, routed.route.timeoutMs + TAKE_UP_MS, process)
        stream?.let { context.origins.onEvent(it, starts, isMixed(service)) }
        context.registry[server.row.id]?.let { context.origins.onRow(it.row) }
    }

    /** Returns whether the stream may go on at [server], or [server] only reads its prompt. */
    fun allows(server: Backend): Boolean =
        server.row.kind == ServerKind.PREFILL || origin?.let { it.software == server.row.software } ?: true

    /** Returns whether events of [server] must not be forwarded before its process is confirmed. */
    fun isCheckDue(server: Backend): Boolean {
        if (origin == null) return false
        return IncarnationPolicy.isCheckDue(isMixed(routed.service), server.lastFailureMs?.let { context.nowMs() - it })
    }

    /** Calls [done] with [check] of the server at which the stream goes on, once its origin is certain as well. */
    fun settle(check: IncarnationCheck, done: (IncarnationCheck) -> Unit) {
        val own = stream?.takeIf { check is IncarnationCheck.Confirmed }?.let(context.origins::findOwn)
        val unsettledMs = (own as? OriginLookup.Found)?.unsettledMs ?: 0
        when {
            own is OriginLookup.Ambiguous -> done(IncarnationCheck.Refuted("the first server has started again"))
            unsettledMs > 0 -> context.loop.schedule({ settle(check, done) }, unsettledMs, TimeUnit.MILLISECONDS)
            else -> done(check)
        }
    }

    /** Reason for which the stream goes on nowhere. */
    val noServer: String
        get() = origin?.let { "no decode server of version ${it.software} available" } ?: "no decode server available"

    private companion object {
        /** Time in milliseconds for which a caller may still take up a stream that was broken off. */
        const val TAKE_UP_MS = 30_000L
    }
}
