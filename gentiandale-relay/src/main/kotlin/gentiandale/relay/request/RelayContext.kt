package gentiandale.relay.request

import gentiandale.core.Clock
import gentiandale.core.ServerKind
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.ServiceName
import gentiandale.core.customer.QuotaBounds
import gentiandale.core.log.EventLog
import gentiandale.relay.RelayEvent
import gentiandale.relay.RelayListener
import gentiandale.relay.RelayStats
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.BackendRegistry
import gentiandale.relay.forward.Forwarding
import gentiandale.relay.placement.AnswerLengthEstimator
import gentiandale.relay.placement.GenerationPlacement
import gentiandale.relay.placement.LimitPolicy
import gentiandale.relay.placement.PlainPlacement
import gentiandale.relay.placement.RejectionPolicy
import gentiandale.relay.placement.RestPolicy
import gentiandale.relay.placement.RetryBudget
import gentiandale.relay.routing.CustomerAccess
import gentiandale.relay.upstream.Dialect
import gentiandale.relay.upstream.Upstreams
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import kotlin.random.Random

/** Policies for placement and retries, which can be tested without a network. */
internal class PlacementPolicies(
    val plainPlacement: PlainPlacement,
    val generationPlacement: GenerationPlacement,
    val answerLengths: AnswerLengthEstimator,
    val rejections: RejectionPolicy,
    val quarantine: RequestQuarantine,
    val budgetOf: (ServiceName) -> RetryBudget,
    val random: Random,
)

/** Receivers of what the handlers report. */
internal class RelayReporting(val log: EventLog, val stats: RelayStats, val listener: RelayListener)

/** Dependencies shared by the handlers of all requests. Confined to the event loop. */
internal class RelayContext(
    val loop: EventLoop,
    private val clock: Clock,
    val registry: BackendRegistry,
    val upstreams: Upstreams,
    val dialect: Dialect,
    val policies: PlacementPolicies,
    private val reporting: RelayReporting,
    val forwarding: Forwarding,
    val access: CustomerAccess,
    quotaBounds: QuotaBounds = QuotaBounds(),
    hasCapacityQueue: Boolean = true,
) {
    val log get() = reporting.log
    val stats get() = reporting.stats
    val listener get() = reporting.listener

    /** Returns the monotonic time in milliseconds. */
    val nowMs: () -> Long = clock::monotonicMs

    /** Handlers of the requests that have no final answer yet. */
    val active = LinkedHashSet<RequestHandler>()

    /** Services whose capacity a control VM assigns. */
    val capacity = SharedCapacity(registry, nowMs, policies.random, hasCapacityQueue)

    /** Plain calls of this VM that wait because all servers were full. */
    var waitingCalls = 0
    val queue = GenerationQueue(loop, nowMs)

    /** Quotas of customers. */
    val quotas = CustomerQuotas(loop, nowMs, listener, quotaBounds, policies.random)

    /** Origins of streams that callers may take up. */
    val origins = StreamOrigins(loop, nowMs, listener)
    val monitor get() = upstreams.monitor
    val plainPlacement get() = policies.plainPlacement
    val generationPlacement get() = policies.generationPlacement
    val answerLengths get() = policies.answerLengths
    val quarantine get() = policies.quarantine
    val random get() = policies.random

    /** Returns the retry budget of [service]. */
    fun budgetOf(service: ServiceName): RetryBudget = policies.budgetOf(service)

    /** Plain calls of this VM that wait for a permit. */
    val permitQueue = PermitQueue()

    /** Returns the servers of [service] that accept work, and asks for permits for those whose limit is used up. */
    fun candidates(service: ServiceName): List<Backend> = registry.ready(service, nowMs()).filter {
        val admits = it.limit.admits(nowMs())
        if (!admits) requestPermits(it)
        admits
    }

    /** Returns whether a server of [service] that [isAllowed] would accept work if this VM had a permit for it. */
    fun lacksPermits(service: ServiceName, isAllowed: (Backend) -> Boolean): Boolean =
        registry.ready(service, nowMs()).any { !it.limit.admits(nowMs()) && isAllowed(it) }

    /** Reports that the number of requests at [server] has changed, if it is a plain server whose load is reported. */
    fun onRunningChanged(server: Backend) {
        if (server.row.kind == ServerKind.PLAIN && capacity.isReported(server)) listener.onLoadChanged()
    }

    /** Lets requests continue that wait for permits or for the end of a limit. */
    fun onPermits() {
        permitQueue.onPermits()
        queue.admit()
    }

    private fun requestPermits(server: Backend) {
        val wanted = server.limit.onMissing(nowMs(), registry.entryVms)
        if (wanted > 0) listener.onPermitsMissing(statementOf(server), wanted)
    }

    private fun statementOf(server: Backend) =
        LimitStatement(server.row.id, server.row.incarnation, server.limit.perSecond(nowMs()))

    /** Returns the milliseconds until a server of [service] accepts work again if all rest now, or null. */
    fun restLeftMs(service: ServiceName): Long? = registry.restLeftMs(service, nowMs())

    /**
     * Reads what the [head] of an answer to [request] says about [server] itself.
     *
     * @param sentMs time of the request as returned by [gentiandale.relay.backend.RequestLimit.onSent].
     */
    fun readNotices(server: Backend, request: String?, head: HttpResponse, sentMs: Long) {
        if (server.isPeer) return
        if (dialect.isLeaving(head.headers()) && !server.row.departing) {
            val row = server.row.copy(departing = true)
            registry.merge(row)
            listener.onDeparting(row)
            noteServer(request, server, "leaving", null)
        }
        readLimit(server, request, head, sentMs)
        val retryAfter = head.headers().get(HttpHeaderNames.RETRY_AFTER)
        val date = head.headers().get(HttpHeaderNames.DATE)
        val restMs = RestPolicy.restMs(head.status().code(), retryAfter, date, clock.wallMs()) ?: return
        server.rest(nowMs() + restMs)
        noteServer(request, server, "rest", restMs)
    }

    private fun readLimit(server: Backend, request: String?, head: HttpResponse, sentMs: Long) {
        // Another server, which has got the address, speaks of its own limit.
        if (head.status().code() == MISDIRECTED) return
        val now = nowMs()
        val text = dialect.requestLimit(head.headers())?.take(MAX_LIMIT_LENGTH)
        val isChanged = server.limit.onAnswer(LimitPolicy.read(text), sentMs, now)
        if (text != server.statedLimit) {
            server.statedLimit = text
            log.write(RelayEvent.LimitStated(request, server.row, text, server.limit.perSecond(now)))
            stats.onServerNotice("limit")
        }
        val isRefreshDue =
            server.limit.perSecond(now) != null && now - server.limitReportedMs > LIMIT_REPORT_INTERVAL_MS
        if (!isChanged && !isRefreshDue) return
        server.limitReportedMs = now
        listener.onLimitStated(statementOf(server))
    }

    private fun noteServer(request: String?, server: Backend, kind: String, restMs: Long?) {
        log.write(RelayEvent.ServerNotice(request, server.row, kind, restMs))
        stats.onServerNotice(kind)
    }

    private companion object {
        const val MISDIRECTED = 421

        /** A limit that still holds is reported again after this time, since the statement expires without that. */
        const val LIMIT_REPORT_INTERVAL_MS = 5_000L

        /** Longer than any number that makes sense as a limit. */
        const val MAX_LIMIT_LENGTH = 32
    }
}
