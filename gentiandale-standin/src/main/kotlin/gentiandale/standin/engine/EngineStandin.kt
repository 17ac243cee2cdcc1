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
import gentiandale.standin.fault.FaultService
import gentiandale.standin.fault.FaultInjector
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

/** Stand-in for a model engine that prefills or decodes. */
public class EngineStandin(options: EngineOptions) : BackendStandin {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val faults = FaultInjector(options.faults)
    private val speeds = options.speeds
    private val first = options.facts
    private val counts = EngineCounts()
    private val book = OrderBook(first, speeds.loadMs, faults)
    private val held = HeldWork(first.places, first.memoryBlocks)
    private val store =
        KvStore(speeds.kvLifetimeMs, scope) { counts.prefillWasted.addAndGet(it.computedTokens.toLong()) }
    private val link = KvLink(store, speeds.linkBytesPerSecond)
    private val announcer = Announcer(options.schedule, ::announcement)
    private val events =
        CacheEvents(first.server, options.cacheEventGap, options.faults.seed, scope, announcer)
    private val prefiller =
        Prefiller(book::facts, speeds, held, store, PrefixCache(options.cacheBlocks), events, counts, faults, scope)
    private val decoder = Decoder(book::facts, speeds, held, KvImport(), counts, faults, scope)

    @Volatile
    private var leaving = false

    private val server = Server.builder()
        .http(InetSocketAddress(first.address.host, first.address.port))
        .requestTimeoutMillis(0)
        .maxRequestLength(0)
        .service(EnginePaths.PREFILL, taking(PrefillRequest.serializer(), prefiller::serve))
        .service(EnginePaths.DECODE, taking(DecodeRequest.serializer()) { decoder.serve(it) })
        .service(EnginePaths.CANCEL, taking(CancelRequest.serializer(), ::cancel))
        .service(EnginePaths.ORDER, taking(EngineOrder.serializer(), ::order))
        .service("${EnginePaths.KV}/{handle}") { ctx, _ ->
            HttpResponse.of(scope.future { link.export(ctx.pathParam("handle").orEmpty()) })
        }
        .service("/engine/load") { _, _ -> json(ServerLoad.serializer(), load()) }
        .service("/standin/report") { _, _ -> json(EngineReport.serializer(), report()) }
        .service("/standin/faults", FaultService(faults))
        .build()

    override val port: Int get() = server.activeLocalPort()

    override val holdsWork: Boolean get() = held.ids.isNotEmpty() || store.ids.isNotEmpty()

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

    private fun announcement() = Announcement(book.facts.copy(leaving = leaving), load())

    private fun load(): ServerLoad {
        val ids = held.ids
        val running = if (book.facts.kind == ServerKind.PREFILL) minOf(1, ids.size) else ids.size
        return ServerLoad(
            running = running,
            queued = ids.size - running,
            usedBlocks = held.usedBlocks + store.usedBlocks,
            queuedTokens = prefiller.queuedTokens,
            requests = (ids + store.ids).map { it.request }.distinct(),
        )
    }

    private fun cancel(request: CancelRequest): HttpResponse {
        if (faults.shouldInject(Fault.IGNORED_CANCEL, "${request.request}-${request.attempt}")) {
            return json(CancelReply.serializer(), CancelReply(request.request, held = true))
        }
        val ran = held.cancel(request.request, request.attempt)
        val kept = store.drop(request.request, request.attempt)
        return json(CancelReply.serializer(), CancelReply(request.request, ran || kept))
    }

    private suspend fun order(order: EngineOrder): HttpResponse {
        val reply = book.take(order)
        val status = if (reply.taken) HttpStatus.OK else HttpStatus.CONFLICT
        return json(OrderReply.serializer(), reply, status)
    }

    private fun report() = EngineReport(
        server = first.server,
        held = held.ids,
        heldBlocks = held.usedBlocks + store.usedBlocks,
        kv = store.handles,
        prefillTokensRun = counts.prefillRun.get(),
        prefillTokensCached = counts.prefillCached.get(),
        prefillTokensWasted = counts.prefillWasted.get(),
        tokensSent = counts.tokensSent.get(),
        answersFinished = counts.answersFinished.get(),
        orders = book.orders,
    )

    private fun <T> taking(serializer: KSerializer<T>, handle: suspend (T) -> HttpResponse) =
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
