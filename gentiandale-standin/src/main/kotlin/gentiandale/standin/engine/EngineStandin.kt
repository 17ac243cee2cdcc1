package gentiandale.standin.engine

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import gentiandale.core.Announcement
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad
import gentiandale.core.engine.CancelReply
import gentiandale.core.engine.CancelRequest
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.EngineOrder
import gentiandale.core.engine.EnginePaths
import gentiandale.core.engine.PrefillRequest
import gentiandale.standin.BackendStandin
import gentiandale.standin.StandinJson
import gentiandale.standin.announce.Announcer
import gentiandale.standin.fault.Fault
import gentiandale.standin.fault.FaultInjector
import gentiandale.standin.fault.FaultService
import gentiandale.standin.json
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.net.InetSocketAddress

/** Stand-in for a model engine of a prefill or decode pool. */
public class EngineStandin(options: EngineOptions) : BackendStandin {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val faults = FaultInjector(options.faults)
    private val speeds = options.speeds
    private val initialFacts = options.facts
    private val counters = EngineCounters()
    private val executor = OrderExecutor(initialFacts, speeds.loadMs, faults)
    private val capacity = EngineCapacity(initialFacts.places, initialFacts.memoryBlocks)
    private val store =
        KvStore(speeds.kvLifetimeMs, scope) { counters.prefillTokensWasted.addAndGet(it.computedTokens.toLong()) }
    private val exporter = KvExporter(store, speeds.linkBytesPerSecond)
    private val announcer = Announcer(options.schedule, ::announcement)
    private val events = CacheEventPublisher(
        initialFacts.server,
        options.cacheEventLossProbability,
        options.faults.seed,
        scope,
        announcer,
    )
    private val prefiller = Prefiller(
        executor::facts,
        speeds,
        capacity,
        store,
        PrefixCache(options.cacheBlocks),
        events,
        counters,
        faults,
        scope,
    )
    private val decoder = Decoder(executor::facts, speeds, capacity, KvImporter(), counters, faults, scope)

    @Volatile
    private var leaving = false

    private val server = Server.builder()
        .http(InetSocketAddress(initialFacts.address.host, initialFacts.address.port))
        .requestTimeoutMillis(0)
        .maxRequestLength(0)
        .service(EnginePaths.PREFILL, jsonService(PrefillRequest.serializer(), prefiller::serve))
        .service(EnginePaths.DECODE, jsonService(DecodeRequest.serializer()) { decoder.serve(it) })
        .service(EnginePaths.CANCEL, jsonService(CancelRequest.serializer(), ::cancel))
        .service(EnginePaths.ORDER, jsonService(EngineOrder.serializer(), ::order))
        .service("${EnginePaths.KV}/{handle}") { ctx, _ ->
            HttpResponse.of(scope.future { exporter.export(ctx.pathParam("handle").orEmpty()) })
        }
        .service("/engine/load") { _, _ -> json(ServerLoad.serializer(), load()) }
        .service("/standin/report") { _, _ -> json(EngineReport.serializer(), report()) }
        .service("/standin/faults", FaultService(faults))
        .build()

    override val port: Int get() = server.activeLocalPort()

    override val holdsWork: Boolean get() = capacity.ids.isNotEmpty() || store.ids.isNotEmpty()

    override fun start() {
        server.start().join()
        announcer.start(scope)
    }

    override suspend fun leave() {
        leaving = true
        announcer.announceNow()
    }

    override fun close() {
        server.stop()
        scope.coroutineContext[Job]?.cancel()
    }

    private fun announcement() = Announcement(executor.facts.copy(leaving = leaving), load())

    private fun load(): ServerLoad {
        val ids = capacity.ids
        val running = if (executor.facts.kind == ServerKind.PREFILL) minOf(1, ids.size) else ids.size
        return ServerLoad(
            running = running,
            queued = ids.size - running,
            usedBlocks = capacity.usedBlocks + store.usedBlocks,
            queuedTokens = prefiller.queuedTokens,
            requests = (ids + store.ids).map { it.request }.distinct(),
        )
    }

    private fun cancel(request: CancelRequest): HttpResponse {
        if (faults.shouldInject(Fault.IGNORED_CANCEL, "${request.request}-${request.attempt}")) {
            return json(CancelReply.serializer(), CancelReply(request.request, held = true))
        }
        val wasRunning = capacity.cancel(request.request, request.attempt)
        val wasStored = store.drop(request.request, request.attempt)
        return json(CancelReply.serializer(), CancelReply(request.request, wasRunning || wasStored))
    }

    private suspend fun order(order: EngineOrder): HttpResponse {
        val reply = executor.execute(order)
        val status = if (reply.taken) HttpStatus.OK else HttpStatus.CONFLICT
        return json(OrderReply.serializer(), reply, status)
    }

    private fun report() = EngineReport(
        server = initialFacts.server,
        held = capacity.ids,
        heldBlocks = capacity.usedBlocks + store.usedBlocks,
        kv = store.handles,
        prefillTokensRun = counters.prefillTokensRun.get(),
        prefillTokensCached = counters.prefillTokensCached.get(),
        prefillTokensWasted = counters.prefillTokensWasted.get(),
        tokensSent = counters.tokensSent.get(),
        answersFinished = counters.answersFinished.get(),
        orders = executor.records,
    )

    private fun <T> jsonService(serializer: KSerializer<T>, handle: suspend (T) -> HttpResponse) =
        HttpService { ctx, req ->
            val work = scope.future {
                try {
                    handle(StandinJson.decodeFromString(serializer, req.aggregate().await().contentUtf8()))
                } catch (e: SerializationException) {
                    HttpResponse.of(HttpStatus.BAD_REQUEST)
                }
            }
            ctx.whenRequestCancelled().thenAccept { work.cancel(true) }
            HttpResponse.of(work)
        }
}
