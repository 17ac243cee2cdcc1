package gentiandale.daemon

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import gentiandale.cluster.CONFIGURATION_READY
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.Clock
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.SystemClock
import gentiandale.daemon.claim.ClaimManager
import gentiandale.daemon.claim.PlainCallRunner
import gentiandale.daemon.claim.PlainSender
import gentiandale.daemon.claim.ServiceChooser
import gentiandale.daemon.engine.EngineClient
import gentiandale.daemon.forward.CellOwnerLookup
import gentiandale.daemon.forward.ForwardTimes
import gentiandale.daemon.forward.Forwarding
import gentiandale.daemon.forward.LowestVmOwnerLookup
import gentiandale.daemon.forward.OwnerChoice
import gentiandale.daemon.forward.RequestRouter
import gentiandale.daemon.http.AnnounceService
import gentiandale.daemon.http.CacheEventsService
import gentiandale.daemon.http.CallGate
import gentiandale.daemon.http.CompletionFormat
import gentiandale.daemon.http.CompletionReader
import gentiandale.daemon.http.CompletionService
import gentiandale.daemon.http.DrainService
import gentiandale.daemon.http.JournalService
import gentiandale.daemon.http.MetricsService
import gentiandale.daemon.http.PlainCallService
import gentiandale.daemon.http.ProblemErrorHandler
import gentiandale.daemon.http.StatusService
import gentiandale.daemon.http.drainingRefusal
import gentiandale.daemon.metrics.VmMetrics
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.AnswerAnomalyCounters
import gentiandale.daemon.request.CacheEventSequencer
import gentiandale.daemon.request.Completion
import gentiandale.daemon.request.Dispatcher
import gentiandale.daemon.request.RankOrders
import gentiandale.daemon.request.RequestDependencies
import gentiandale.daemon.request.RequestJournal
import gentiandale.daemon.request.RequestRun
import gentiandale.daemon.request.StepLimits
import gentiandale.daemon.request.retryBudget
import gentiandale.daemon.settings.Settings
import gentiandale.daemon.settings.parsedAddress
import gentiandale.route.JointPolicy
import gentiandale.route.RoutingPolicy
import gentiandale.state.LocalStore
import gentiandale.state.ReplicatedStore
import gentiandale.wire.LinkFilter
import gentiandale.wire.PeerNode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress

/** Entry VM: builds the components of one daemon from its [settings] and runs them. */
public class EntryVm internal constructor(
    private val settings: Settings,
    private val clock: Clock = SystemClock,
    stepLimits: StepLimits = StepLimits(),
    store: ReplicatedStore = LocalStore(),
    forwardTimes: ForwardTimes = ForwardTimes(),
    links: LinkFilter = LinkFilter.OPEN,
    private val node: PeerNode = PeerNode(settings.vm, links),
    policy: RoutingPolicy = JointPolicy(),
) : AutoCloseable {
    private val log = LoggerFactory.getLogger("gentiandale.vm")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val board = Blackboard()
    private val storeModule = StoreModule(store, board, clock, scope)
    private val engines = EngineClient()
    private val journal = RequestJournal(settings.vm, clock)
    private val fallbackLookup = LowestVmOwnerLookup(settings.vm, settings.peers.map { it.vm }.toSet(), board)
    private val ownerLookup = CellOwnerLookup(settings.vm, settings.region, board, fallbackLookup)
    private val ranks = RankOrders(board)
    private val metrics = VmMetrics(board, clock)
    private val dispatcher = Dispatcher(board, policy, clock, journal, ownerLookup::mayPlaceOn, metrics.prefills)
    private val deps = RequestDependencies(dispatcher, engines, board, clock, scope, journal, stepLimits)
    private val gate = CallGate()
    private val incarnation = Incarnation(clock.wallMs())
    private val forwarding = Forwarding(node, incarnation, clock, deps, forwardTimes, ::runForwarded)
    private val router = RequestRouter(ownerLookup, forwarding.client, deps.budget, journal, clock, ::run)
    private val claims = ClaimManager(settings.vm, incarnation, store, clock, scope)
    private val sender = PlainSender()
    private val plainCalls =
        PlainCallRunner(board, ServiceChooser(board, settings.dataCentre), sender, claims, retryBudget(), clock)
    private val drain = Drain(board, gate, settings.limits, clock, scope, ::leave, ::isBusy)
    private val cluster = ClusterModule(settings, board, clock, store)
    private val server = buildServer()

    private constructor(settings: Settings, node: PeerNode) :
        this(settings, store = StoreModule.open(settings, node, SystemClock), node = node)

    /**
     * Builds the components and, if this VM is a voter, opens its data folder.
     *
     * @throws java.io.IOException if the data folder is corrupt or in use.
     */
    public constructor(settings: Settings) : this(settings, PeerNode(settings.vm))

    /** Number of requests, cancels and forwarded requests that have not ended. */
    internal val pendingRequests: Int get() = dispatcher.activeRequests + deps.cancels.size + forwarding.server.size

    /** Counters of parts of answers that were dropped or delayed. */
    internal val counters: AnswerAnomalyCounters get() = deps.counters

    /** Number of engines known to the routing policy. */
    internal val knownEngines: Int get() = dispatcher.servers.size

    /** Number of calls being served. */
    internal val runningCalls: Int get() = gate.size

    /** Whether new calls are refused because of a shutdown. */
    internal val refusesCalls: Boolean get() = gate.closed

    /** Returns whether this VM owns the servers of [model]. */
    internal fun owns(model: ModelId): Boolean = ownerLookup.ownerOf(model, emptySet()) == OwnerChoice.Local

    /** Port of the HTTP server. */
    internal val httpPort: Int get() = server.activeLocalPort()

    /** Starts all components and returns when the HTTP server accepts connections. */
    public suspend fun start() {
        settings.peers.forEach { node.setAddress(it.vm, parsedAddress(it.peer)) }
        node.listen(parsedAddress(settings.peer))
        storeModule.start()
        cluster.start(scope)
        dispatcher.start(scope)
        forwarding.start()
        server.start().join()
        log.info("Entry VM {} is listening for HTTP on {}.", settings.vm, settings.http)
    }

    /** Starts a graceful shutdown if none has been started. */
    internal fun beginDrain() {
        drain.begin(limitMs = null)
    }

    /** Suspends until a graceful shutdown, started by any means, has ended; [close] may follow. */
    internal suspend fun awaitDrained() = drain.awaitEnd()

    /** Stops at once, as in a crash: running work is not finished and other VMs are not informed. */
    internal fun abort() {
        scope.cancel()
        node.close()
        cluster.close()
        engines.close()
        sender.close()
        storeModule.close()
        server.stop()
    }

    override fun close() {
        server.stop().join()
        engines.close()
        sender.close()
        node.close()
        cluster.close()
        storeModule.close()
        scope.cancel()
        log.info("Entry VM {} has stopped.", settings.vm)
    }

    private fun run(completion: Completion): Flow<Answer> = RequestRun(completion, deps).answers()

    private fun answers(completion: Completion): Flow<Answer> =
        metrics.requests.watch(completion.route, router.answers(completion))

    private fun runForwarded(completion: Completion): Flow<Answer> =
        if (gate.closed) flowOf(Answer.Refused(drainingRefusal())) else run(completion)

    private suspend fun leave() = cluster.leave()

    private fun isBusy() = gate.size + pendingRequests + claims.size > 0

    private fun completionService(format: CompletionFormat) =
        CompletionService(
            format,
            CompletionReader(format, settings.limits, board, ranks, clock),
            gate,
            scope,
            ::answers,
        )

    private fun plainCallService() = PlainCallService(plainCalls, settings.limits, gate, clock, scope)

    private fun buildServer(): Server {
        val http = parsedAddress(settings.http)
        return Server.builder()
            .http(InetSocketAddress(http.host, http.port))
            .requestTimeoutMillis(0)
            .gracefulShutdownTimeoutMillis(SHUTDOWN_QUIET_MS, SHUTDOWN_LIMIT_MS)
            .maxRequestLength(settings.limits.maxBodyBytes)
            .errorHandler(ProblemErrorHandler)
            .service("/v1/completions", completionService(CompletionFormat.TEXT))
            .service("/v1/chat/completions", completionService(CompletionFormat.CHAT))
            .service("/v1/servers", AnnounceService(cluster.service::announce))
            .service("/v1/cache-events", CacheEventsService(CacheEventSequencer(dispatcher::observe)::accept))
            .service("regex:^/services/(?<service>[^/]+).*$", plainCallService())
            .service("/v1/status", StatusService(settings.vm, board, clock))
            .service("/metrics", MetricsService(metrics))
            .service("/v1/requests/{request}", JournalService(settings.vm, journal, forwarding, scope))
            .service("/v1/drain", DrainService(drain, scope))
            .also(storeModule::addServices)
            .service("/healthz") { _, _ -> HttpResponse.of(HttpStatus.OK) }
            .service("/readyz") { _, _ -> HttpResponse.of(readiness()) }
            .build()
    }

    private fun readiness(): HttpStatus {
        val ready = board[CONFIGURATION_READY] && !board[Board.DRAINING]
        return if (ready) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE
    }

    private companion object {
        const val SHUTDOWN_QUIET_MS = 200L
        const val SHUTDOWN_LIMIT_MS = 5_000L
    }
}
