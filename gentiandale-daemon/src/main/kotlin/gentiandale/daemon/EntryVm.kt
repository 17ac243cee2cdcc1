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
import gentiandale.daemon.forward.CellOwner
import gentiandale.daemon.forward.ForwardTimes
import gentiandale.daemon.forward.Forwarding
import gentiandale.daemon.forward.LowestVmOwner
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
import gentiandale.daemon.http.ProblemErrors
import gentiandale.daemon.http.StatusService
import gentiandale.daemon.http.draining
import gentiandale.daemon.metrics.VmMetrics
import gentiandale.daemon.request.Answer
import gentiandale.daemon.request.AnswerAnomalyCounters
import gentiandale.daemon.request.CacheEventSequencer
import gentiandale.daemon.request.Dispatcher
import gentiandale.daemon.request.RankOrders
import gentiandale.daemon.request.RequestDependencies
import gentiandale.daemon.request.RequestJournal
import gentiandale.daemon.request.RequestRun
import gentiandale.daemon.request.StepLimits
import gentiandale.daemon.request.Work
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

/** The parts of one daemon, put together from its [settings]. */
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
    private val state = StateParts(store, board, clock, scope)
    private val engines = EngineClient()
    private val journal = RequestJournal(settings.vm, clock)
    private val lowest = LowestVmOwner(settings.vm, settings.peers.map { it.vm }.toSet(), board)
    private val owners = CellOwner(settings.vm, settings.region, board, lowest)
    private val ranks = RankOrders(board)
    private val metrics = VmMetrics(board, clock)
    private val dispatcher = Dispatcher(board, policy, clock, journal, owners::mayPlaceOn, metrics.prefills)
    private val parts = RequestDependencies(dispatcher, engines, board, clock, scope, journal, stepLimits)
    private val gate = CallGate()
    private val incarnation = Incarnation(clock.wallMs())
    private val forwarding = Forwarding(node, incarnation, clock, parts, forwardTimes, ::runForwarded)
    private val router = RequestRouter(owners, forwarding.client, parts.budget, journal, clock, ::run)
    private val claims = ClaimManager(settings.vm, incarnation, store, clock, scope)
    private val sender = PlainSender()
    private val plainCalls =
        PlainCallRunner(board, ServiceChooser(board, settings.dataCentre), sender, claims, retryBudget(), clock)
    private val drain = Drain(board, gate, settings.limits, clock, scope, ::leave, ::isBusy)
    private val cluster = ClusterParts(settings, board, clock, store)
    private val server = buildServer()

    private constructor(settings: Settings, node: PeerNode) :
        this(settings, store = StateParts.open(settings, node, SystemClock), node = node)

    /**
     * Puts the parts together and opens the data folder, if the settings name one.
     *
     * @throws java.io.IOException if the data folder is damaged or in use.
     */
    public constructor(settings: Settings) : this(settings, PeerNode(settings.vm))

    /** Requests and cancels that are not at their end. */
    internal val heldRequests: Int get() = dispatcher.active + parts.cancels.size + forwarding.server.size

    /** Counts of dropped answers. */
    internal val counters: AnswerAnomalyCounters get() = parts.counters

    /** Engines that the policy knows. */
    internal val knownEngines: Int get() = dispatcher.servers.size

    /** Calls of callers that are being served. */
    internal val runningCalls: Int get() = gate.size

    /** Whether new calls are refused because of a shutdown. */
    internal val takesNothing: Boolean get() = gate.closed

    /** Whether this VM decides over the servers of [model]. */
    internal fun owns(model: ModelId): Boolean = owners.ownerOf(model, emptySet()) == OwnerChoice.Here

    /** Port for callers. */
    internal val httpPort: Int get() = server.activeLocalPort()

    /** Starts everything and returns when callers can be served. */
    public suspend fun start() {
        settings.peers.forEach { node.setAddress(it.vm, parsedAddress(it.peer)) }
        node.listen(parsedAddress(settings.peer))
        state.start()
        cluster.start(scope)
        dispatcher.start(scope)
        forwarding.start()
        server.start().join()
        log.info("{} serves on {}.", settings.vm, settings.http)
    }

    /** Begins a graceful shutdown, unless one has begun. */
    internal fun beginDrain() {
        drain.begin(limitMs = null)
    }

    /** Waits for the end of a graceful shutdown that somebody begins; [close] may follow. */
    internal suspend fun awaitDrained() = drain.awaitEnd()

    /** Stops at once without finishing anything or telling anybody. */
    internal fun abort() {
        scope.cancel()
        node.close()
        cluster.close()
        engines.close()
        sender.close()
        state.close()
        server.stop()
    }

    override fun close() {
        server.stop().join()
        engines.close()
        sender.close()
        node.close()
        cluster.close()
        state.close()
        scope.cancel()
        log.info("{} has stopped.", settings.vm)
    }

    private fun run(work: Work): Flow<Answer> = RequestRun(work, parts).answers()

    private fun answers(work: Work): Flow<Answer> = metrics.requests.watch(work.route, router.answers(work))

    private fun runForwarded(work: Work): Flow<Answer> =
        if (gate.closed) flowOf(Answer.Refused(draining())) else run(work)

    private suspend fun leave() = cluster.leave()

    private fun isBusy() = gate.size + heldRequests + claims.size > 0

    private fun completions(format: CompletionFormat) =
        CompletionService(
            format,
            CompletionReader(format, settings.limits, board, ranks, clock),
            gate,
            scope,
            ::answers,
        )

    private fun plain() = PlainCallService(plainCalls, settings.limits, gate, clock, scope)

    private fun buildServer(): Server {
        val http = parsedAddress(settings.http)
        return Server.builder()
            .http(InetSocketAddress(http.host, http.port))
            .requestTimeoutMillis(0)
            .gracefulShutdownTimeoutMillis(SHUTDOWN_QUIET_MS, SHUTDOWN_LIMIT_MS)
            .maxRequestLength(settings.limits.maxBodyBytes)
            .errorHandler(ProblemErrors)
            .service("/v1/completions", completions(CompletionFormat.TEXT))
            .service("/v1/chat/completions", completions(CompletionFormat.CHAT))
            .service("/v1/servers", AnnounceService(cluster.service::announce))
            .service("/v1/cache-events", CacheEventsService(CacheEventSequencer(dispatcher::observe)::accept))
            .service("regex:^/services/(?<service>[^/]+).*$", plain())
            .service("/v1/status", StatusService(settings.vm, board, clock))
            .service("/metrics", MetricsService(metrics))
            .service("/v1/requests/{request}", JournalService(settings.vm, journal, forwarding, scope))
            .service("/v1/drain", DrainService(drain, scope))
            .also(state::addServices)
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
