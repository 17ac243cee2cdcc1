package gentiandale.relay

import gentiandale.core.Clock
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.ForwardPeer
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.ReadSpeed
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.StreamId
import gentiandale.core.backend.StreamOrigin
import gentiandale.core.capacity.CapacityAnswer
import gentiandale.core.capacity.CapacityRequest
import gentiandale.core.customer.ConfigurationLease
import gentiandale.core.customer.QuotaAnswer
import gentiandale.core.customer.QuotaBounds
import gentiandale.core.customer.QuotaReport
import gentiandale.core.log.EventLog
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.BackendRegistry
import gentiandale.relay.caller.HttpServerHandler
import gentiandale.relay.caller.HttpServerReply
import gentiandale.relay.caller.HttpServerRequest
import gentiandale.relay.forward.ForwardedRefusal
import gentiandale.relay.forward.ForwardedReply
import gentiandale.relay.forward.ForwardedRequest
import gentiandale.relay.forward.Forwarding
import gentiandale.relay.forward.ServerMonitor
import gentiandale.relay.placement.AnswerLengthEstimator
import gentiandale.relay.placement.GenerationPlacement
import gentiandale.relay.placement.PlainPlacement
import gentiandale.relay.placement.RejectionPolicy
import gentiandale.relay.placement.RetryBudget
import gentiandale.relay.request.GenerationRequestHandler
import gentiandale.relay.request.PlacementPolicies
import gentiandale.relay.request.PlainRequestHandler
import gentiandale.relay.request.RelayContext
import gentiandale.relay.request.RelayReporting
import gentiandale.relay.request.RequestQuarantine
import gentiandale.relay.request.RoutedRequest
import gentiandale.relay.request.endToEnd
import gentiandale.relay.routing.AdmissionPolicy
import gentiandale.relay.routing.CustomerAccess
import gentiandale.relay.routing.RequestAdmission
import gentiandale.relay.routing.RequestSource
import gentiandale.relay.routing.RoutingTable
import gentiandale.relay.routing.drawService
import gentiandale.relay.upstream.ConnectionObserver
import gentiandale.relay.upstream.ConnectionProbe
import gentiandale.relay.upstream.CrashDetector
import gentiandale.relay.upstream.Dialect
import gentiandale.relay.upstream.Transport
import gentiandale.relay.upstream.Upstreams
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Settings of a [Relay].
 *
 * @param dataCentre data centre of this VM; servers in it are preferred.
 * @param forwardPort port at which entry VMs listen for requests that others forward; null if none are forwarded.
 * @param retryRatio retry budget as a share of the requests to a service.
 * @param retryMinimum retries allowed per window regardless of the number of requests, for all VMs together.
 * @param retryWindowMs length of the sliding window of the retry budget in milliseconds.
 * @param quotaBounds how far the requests of customers may exceed their quotas.
 * @param hasCapacityQueue whether control VMs hold queues of requests that wait for capacity.
 */
public data class RelaySettings(
    val dataCentre: DataCentreId,
    val retryRatio: Double,
    val retryMinimum: Int,
    val retryWindowMs: Long,
    val forwardPort: Int? = null,
    val quotaBounds: QuotaBounds = QuotaBounds(),
    val hasCapacityQueue: Boolean = true,
)

/** Routes requests of callers to backend servers and forwards their answers. Confined to the event loop. */
public class Relay(
    private val settings: RelaySettings,
    private val transport: Transport,
    private val dialect: Dialect,
    private val clock: Clock,
    private val log: EventLog,
    private val stats: RelayStats = RelayStats.NONE,
    private val random: Random = Random.Default,
) : HttpServerHandler {
    private val registry = BackendRegistry()
    private val probe = ConnectionProbe(transport)
    private val upstreams = Upstreams(
        transport,
        dialect,
        ConnectionObserver(log, stats),
        clock::monotonicMs,
        ::connectionLimit,
        CrashDetector(transport, probe),
        ServerMonitor(transport.loop, clock::monotonicMs, registry, probe, log, stats),
    )
    private val budgets = HashMap<ServiceName, RetryBudget>()
    private var isReportScheduled = false
    private var shutdown: ShutdownWindow? = null
    private val ownListener = CoalescingListener()
    private val access = CustomerAccess { table }
    private val context = RelayContext(
        loop = transport.loop,
        clock = clock,
        registry = registry,
        upstreams = upstreams,
        dialect = dialect,
        policies = PlacementPolicies(
            plainPlacement = PlainPlacement(settings.dataCentre, random),
            generationPlacement = GenerationPlacement(settings.dataCentre, random),
            answerLengths = AnswerLengthEstimator(),
            rejections = RejectionPolicy(random),
            quarantine = RequestQuarantine(
                upstreams.crashes,
                upstreams.monitor,
                clock::monotonicMs,
                log,
                stats,
                ownListener,
            ),
            budgetOf = ::budgetOf,
            random = random,
        ),
        reporting = RelayReporting(log, stats, ownListener),
        access = access,
        forwarding = Forwarding(settings.forwardPort, transport.loop, clock::monotonicMs, upstreams.monitor),
        quotaBounds = settings.quotaBounds,
        hasCapacityQueue = settings.hasCapacityQueue,
    )

    /** Routing table in force, or null before the first one has been installed. */
    public var table: RoutingTable? = null
        private set

    /** Lease under which requests of customers are served; null if they need none. */
    public var lease: ConfigurationLease? by access::lease

    /** Whether requests of customers are served, so far as that depends on the [lease]. */
    public val isCurrent: Boolean get() = table?.customers == null || access.isCurrent

    /** Number of entry VMs among which retry budgets and connection limits are divided. */
    public var entryVms: Int = DEFAULT_ENTRY_VMS
        set(value) {
            field = value.coerceAtLeast(1)
            budgets.values.forEach { it.vmCount = field }
            registry.entryVms = field
            context.quotas.entryVms = field
        }

    /** Digest of the known backend rows, used to compare them with other VMs. */
    public val digest: Long get() = registry.digest

    /** Number of generations queued on this VM for engine capacity. */
    public val queueSize: Int get() = context.queue.size

    /** Number of backend servers that accept work. */
    public val readyServers: Int get() = registry.readyCount

    init {
        registry.entryVms = entryVms
        context.quotas.entryVms = entryVms
        registry.onReplaced = upstreams::closePool
        context.forwarding.onChange = ::onReachChanged
    }

    /** Installs [newer] if its version is higher than the current one, and returns whether it did. */
    public fun install(newer: RoutingTable): Boolean {
        if (newer.version <= (table?.version ?: Long.MIN_VALUE)) return false
        table = newer
        context.quotas.update(newer.customers?.all.orEmpty().mapNotNull { it.quota })
        context.capacity.onConfiguration(newer)
        return true
    }

    /** Listener that passes events of this relay to the other VMs. */
    public var listener: RelayListener = RelayListener.NONE

    /**
     * Returns the load that this VM has placed on engines, and its calls in progress at the servers of plain services
     * with fewer places than there are entry VMs; servers without load are omitted.
     */
    public fun localLoad(): List<AssignedLoad> = registry.all
        .filter(context.capacity::isReported)
        .map { it.localLoad }
        .filter { it != AssignedLoad(it.id) }

    /** Avoids [server], which is changing its stage, for [forMs] milliseconds or until it reports the new stage. */
    public fun pause(server: ServerId, forMs: Long) {
        registry[server]?.pause(clock.monotonicMs() + forMs)
    }

    /** Updates the load that the other VMs have placed on servers, and admits queued generations that now fit. */
    public fun updatePeerLoads(loads: List<AssignedLoad>) {
        context.capacity.onLoads()
        loads.forEach { registry[it.id]?.updatePeerLoad(it) }
        context.queue.admit()
    }

    /** Sets the services whose capacity is scarce, so that their requests ask for it before they are placed. */
    public fun updateContention(services: Set<ServiceName>) {
        context.capacity.updateContention(services)
    }

    /** Speeds at which engines have read prompts of this VM. */
    public val readSpeeds: List<ReadSpeed> get() = registry.speeds.local

    /** Sets the speeds at which engines have read prompts of all VMs. */
    public fun updateReadSpeeds(speeds: List<ReadSpeed>) {
        registry.speeds.setShared(speeds)
    }

    /** Digest of the known crashes of engines, used to compare them with other VMs; 0 if there are none. */
    public val crashDigest: Long get() = context.quarantine.table.digest(clock.monotonicMs())

    /** Known crashes of engines. */
    public val crashRecords: List<CrashRecord> get() = context.quarantine.table.records(clock.monotonicMs())

    /** Merges what other VMs know about crashes of engines. */
    public fun mergeCrashes(records: List<CrashRecord>) {
        context.quarantine.merge(records)
        context.queue.endQuarantined()
    }

    /** Merges what other VMs know about the request limits of servers. */
    public fun mergeLimits(statements: List<LimitStatement>) {
        val now = clock.monotonicMs()
        statements.forEach { statement ->
            val server = registry[statement.server]?.takeIf { it.row.incarnation == statement.incarnation }
            val isChanged = server?.limit?.state(statement.perSecond, now - statement.ageMs) ?: false
            if (server != null && isChanged) log.write(RelayEvent.LimitLearned(server.row, statement))
        }
        context.onPermits()
    }

    /** Adds [count] permits, valid for [validMs] milliseconds, for requests to the [incarnation] of [id]. */
    public fun grantPermits(id: ServerId, incarnation: Incarnation, count: Int, validMs: Long) {
        val server = registry[id]?.takeIf { it.row.incarnation == incarnation } ?: return
        server.limit.grant(count, validMs, clock.monotonicMs())
        if (count > 0) context.onPermits()
    }

    /** Handles [answer] of the control VM that issues the quotas of customers. */
    public fun receiveQuota(answer: QuotaAnswer): Unit = context.quotas.receive(answer)

    /** Services of which this VM reaches no server. */
    public val lostServices: List<ServiceName> get() = context.forwarding.lost

    /** Sets the entry VMs that reach [service], to which requests are forwarded if this one doesn't. */
    public fun updateForwardPeers(service: ServiceName, peers: List<ForwardPeer>) {
        context.forwarding.update(service, peers)
        context.queue.admit()
    }

    private fun onReachChanged() {
        listener.onReachChanged(lostServices)
        context.queue.admit()
    }

    private fun scheduleLoadReport() {
        if (isReportScheduled) return
        isReportScheduled = true
        transport.loop.schedule(::reportLoad, REPORT_DELAY_MS, TimeUnit.MILLISECONDS)
    }

    private fun reportLoad() {
        isReportScheduled = false
        listener.onLoadChanged()
    }

    /** Coalesces load changes within [REPORT_DELAY_MS] into one report. */
    private inner class CoalescingListener : RelayListener {
        override fun onLoadChanged() = scheduleLoadReport()

        override fun onSuspect(server: ServerId) = listener.onSuspect(server)

        override fun onDeparting(row: BackendRow) = listener.onDeparting(row)

        override fun onCrashEvidence(records: List<CrashRecord>) {
            listener.onCrashEvidence(records)
            context.queue.endQuarantined()
        }

        override fun onLimitStated(statement: LimitStatement) = listener.onLimitStated(statement)

        override fun onPermitsMissing(limit: LimitStatement, wanted: Int) = listener.onPermitsMissing(limit, wanted)

        override fun onQuotaReport(report: QuotaReport) = listener.onQuotaReport(report)

        override fun onStreamsBegun(origin: StreamOrigin, streams: List<StreamId>, keepMs: Long) =
            listener.onStreamsBegun(origin, streams, keepMs)

        override fun findOrigin(stream: StreamId?, service: ServiceName, done: (OriginLookup) -> Unit) =
            listener.findOrigin(stream, service, done)

        override fun onReachChanged(lost: List<ServiceName>) = listener.onReachChanged(lost)

        override fun requestCapacity(request: CapacityRequest, done: (CapacityAnswer) -> Unit) =
            listener.requestCapacity(request, done)

        override fun cancelCapacity(service: ServiceName, number: Long) = listener.cancelCapacity(service, number)

        override fun confirmLoad(done: () -> Unit) {
            var isDone = false
            val doneOnce = {
                if (!isDone) {
                    isDone = true
                    done()
                }
            }
            transport.loop.schedule(doneOnce, CONFIRM_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            listener.confirmLoad(doneOnce)
        }
    }

    /** From now on refuses requests that can't finish before the end of [shutdown], also those that still wait then. */
    public fun beginShutdown(shutdown: ShutdownWindow) {
        this.shutdown = shutdown
        listOf(shutdown.lastAdmissionMs, shutdown.plainDeadlineMs).forEach { atMs ->
            val delayMs = (atMs - clock.monotonicMs()).coerceAtLeast(0)
            transport.loop.schedule(
                { context.active.toList().forEach { it.onProcessEnding() } },
                delayMs,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    /** Cuts the requests that are still in progress as the process ends. */
    public fun endShutdown() {
        context.active.toList().forEach { it.onProcessEnded() }
    }

    /** Merges [row] into the registry and returns the rows that changed. */
    public fun merge(
        row: BackendRow,
    ): List<BackendRow> = registry.merge(row).also { if (it.isNotEmpty()) context.queue.admit() }

    override fun serve(request: HttpServerRequest, reply: HttpServerReply): (String) -> Unit =
        serve(request, reply, forwarded = null)

    /** Serves the requests that other entry VMs forward. */
    public val forwardedHandler: HttpServerHandler = object : HttpServerHandler {
        override fun serve(request: HttpServerRequest, reply: HttpServerReply): (String) -> Unit {
            val forwardedReply = ForwardedReply(reply, dialect, dialect.requestId(request.headers))
            val forwarded = ForwardedRequest.read(request.headers)
                ?: return refuseForwarded(request, forwardedReply, "not forwarded by an entry VM")
            return serve(request, forwardedReply, forwarded)
        }
    }

    private fun serve(
        request: HttpServerRequest,
        reply: HttpServerReply,
        forwarded: ForwardedRequest?,
    ): (String) -> Unit {
        val host = request.headers.get(HttpHeaderNames.HOST).orEmpty()
        val now = clock.monotonicMs()
        val source = RequestSource(forwarded, access) { dialect.customerKeys(request.headers) }
        val admission = AdmissionPolicy.next(table, host, request.target, shutdown, now, source)
        return when (admission) {
            is RequestAdmission.Admitted -> start(request, reply, forwarded, admission)
            is RequestAdmission.Outdated -> refuseOutdated(request, reply, forwarded, admission)
            is RequestAdmission.Unauthorized -> refuseKey(request, reply, forwarded, admission)
            is RequestAdmission.Refused ->
                if (forwarded == null) {
                    refuse(request, reply, admission.status, admission.reason)
                } else {
                    refuseForwarded(request, reply, admission.reason)
                }
        }
    }

    private fun refuseOutdated(
        request: HttpServerRequest,
        reply: HttpServerReply,
        forwarded: ForwardedRequest?,
        admission: RequestAdmission.Outdated,
    ): (String) -> Unit {
        val id = dialect.requestId(request.headers)
        log.write(RelayEvent.LeaseMissing(id, admission.route.name, admission.version))
        stats.onLeaseMissing()
        if (forwarded != null) return refuseForwarded(request, reply, RelayEvent.LeaseMissing.REASON)
        return refuse(request, reply, UNAVAILABLE, RelayEvent.LeaseMissing.REASON)
    }

    private fun refuseKey(
        request: HttpServerRequest,
        reply: HttpServerReply,
        forwarded: ForwardedRequest?,
        admission: RequestAdmission.Unauthorized,
    ): (String) -> Unit {
        val id = dialect.requestId(request.headers)
        val version = table?.version
        log.write(RelayEvent.KeyRefused(id, admission.route.name, admission.reason, admission.key, version, forwarded))
        stats.onKeyRefused(admission.reason, forwarded != null)
        val reason = "key of a customer: ${admission.reason.label}"
        if (forwarded != null) return refuseForwarded(request, reply, reason)
        return refuse(request, reply, UNAUTHORIZED, reason)
    }

    private fun start(
        request: HttpServerRequest,
        reply: HttpServerReply,
        forwarded: ForwardedRequest?,
        admission: RequestAdmission.Admitted,
    ): (String) -> Unit {
        val route = admission.route
        val service = route.drawService(random)
        val headers = request.headers.endToEnd().also(dialect::removeReserved).also(ForwardedRequest::removeFrom)
        if (admission.table.customers != null) dialect.removeCustomer(headers)
        val callerDeadlineMs = dialect.deadlineMs(request.headers)?.let { request.startMs + it } ?: Long.MAX_VALUE
        val shutdownMs = shutdown?.takeUnless { route.stream }?.plainDeadlineMs ?: Long.MAX_VALUE
        val deadlineMs = minOf(callerDeadlineMs, request.startMs + route.timeoutMs, shutdownMs)
        val routed = RoutedRequest(
            request = request,
            reply = reply,
            headers = headers,
            id = dialect.requestId(request.headers),
            route = route,
            table = admission.table,
            service = service,
            deadlineMs = deadlineMs,
            forwarded = forwarded,
            customer = admission.customer,
            key = admission.key,
        )
        val handler =
            if (route.stream) GenerationRequestHandler(routed, context) else PlainRequestHandler(routed, context)
        handler.start()
        return handler::onCallerLeft
    }

    /** Refuses a forwarded request, so that the VM that has forwarded it may use another peer. */
    private fun refuseForwarded(request: HttpServerRequest, reply: HttpServerReply, reason: String): (String) -> Unit {
        val headers = DefaultHttpHeaders().also(dialect::stateNotExecuted)
        ForwardedRefusal(isUnsent = true, isUnreached = false).writeTo(headers)
        return refuse(request, reply, UNAVAILABLE, reason, headers)
    }

    private fun refuse(
        request: HttpServerRequest,
        reply: HttpServerReply,
        status: Int,
        reason: String,
        headers: HttpHeaders = DefaultHttpHeaders(),
    ): (String) -> Unit {
        if (status == UNAVAILABLE) headers.set(HttpHeaderNames.RETRY_AFTER, OTHER_VM_RETRY_AFTER_S)
        reply.answer(status, headers, Unpooled.EMPTY_BUFFER)
        request.body.release()
        val id = dialect.requestId(request.headers)
        log.write(RelayEvent.Ended(id, null, "refused", status, reason, 0, clock.monotonicMs() - request.startMs))
        stats.onUnrouted(status)
        return { }
    }

    private fun budgetOf(service: ServiceName) = budgets.getOrPut(service) {
        RetryBudget(settings.retryRatio, settings.retryMinimum, settings.retryWindowMs).also { it.vmCount = entryVms }
    }

    private fun connectionLimit(backend: Backend): Int {
        if (backend.isPeer) return MAX_PEER_CONNECTIONS
        val total = table?.service(backend.row.service)?.maxConnections ?: DEFAULT_MAX_CONNECTIONS
        return (total * CONNECTION_SHARE / entryVms).toInt().coerceAtLeast(MIN_CONNECTIONS)
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val UNAVAILABLE = 503

        /** A VM receives its configuration about a second after its start; a retry usually reaches another VM. */
        const val OTHER_VM_RETRY_AFTER_S = "0.3"

        /** Used until the actual number of VMs is known. */
        const val DEFAULT_ENTRY_VMS = 20

        /** Used for a service without a configured limit. */
        const val DEFAULT_MAX_CONNECTIONS = 100

        /** Usable share of a server's connection limit, since the server counts closed connections a little longer. */
        const val CONNECTION_SHARE = 0.8
        const val MIN_CONNECTIONS = 3

        /** Connections to one peer; a VM in the place of all others has as many requests of callers under way. */
        const val MAX_PEER_CONNECTIONS = 256

        /** Several round trips between data centres; a placement doesn't wait longer for the load of other VMs. */
        const val CONFIRM_TIMEOUT_MS = 25L

        /** Load changes within this time are reported together. */
        const val REPORT_DELAY_MS = 10L
    }
}
