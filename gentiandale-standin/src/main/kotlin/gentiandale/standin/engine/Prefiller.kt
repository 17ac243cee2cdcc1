package gentiandale.standin.engine

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.engine.PrefillReply
import gentiandale.core.engine.PrefillRequest
import gentiandale.core.engine.PromptBlocks
import gentiandale.standin.fault.Fault
import gentiandale.standin.fault.FaultInjector
import gentiandale.standin.json
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong

/** Runs prefills one at a time in order of priority and puts their KV caches into [store]. */
internal class Prefiller(
    private val facts: () -> ServerFacts,
    private val speeds: EngineSpeeds,
    private val capacity: EngineCapacity,
    private val store: KvStore,
    private val cache: PrefixCache,
    private val events: CacheEventPublisher,
    private val counters: EngineCounters,
    private val faults: FaultInjector,
    private val scope: CoroutineScope,
) {
    private val mutex = PriorityMutex()
    private val pendingTokens = AtomicLong()

    /** Prompt tokens of all prefills that are waiting or running. */
    val queuedTokens: Long get() = pendingTokens.get()

    /**
     * Prefills [request] and responds with a [PrefillReply]. Responds 409 if the attempt is cancelled or already
     * running, and 429 if no place or memory is free.
     */
    suspend fun serve(request: PrefillRequest): HttpResponse {
        val id = WorkId(request.request, request.attempt)
        val reply = CompletableDeferred<PrefillReply>()
        val job = scope.launch(start = CoroutineStart.LAZY) { reply.complete(run(id, request)) }
        job.invokeOnCompletion { reply.cancel() }
        val tokens = PromptBlocks.tokens(request.prompt)
        when (capacity.reserve(id, blocksOf(tokens), job)) {
            ReservationResult.DUPLICATE -> return HttpResponse.of(HttpStatus.CONFLICT)
            ReservationResult.FULL -> return HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS)
            ReservationResult.HELD -> job.start()
        }
        job.join()
        if (job.isCancelled) return HttpResponse.of(HttpStatus.CONFLICT)
        return json(PrefillReply.serializer(), reply.await())
    }

    private suspend fun run(id: WorkId, request: PrefillRequest): PrefillReply {
        val tokens = PromptBlocks.tokens(request.prompt)
        val hashes = PromptBlocks.hashes(request.prompt, facts().blockTokens)
        pendingTokens.addAndGet(tokens.toLong())
        val cached = try {
            mutex.withLock(request.priority) { compute(id, hashes, tokens) }
        } finally {
            pendingTokens.addAndGet(-tokens.toLong())
        }
        events.publish(cache.store(hashes))
        val entry = KvEntry("kv-$id", id, tokens * speeds.kvBytesPerToken, tokens - cached, blocksOf(tokens))
        store.put(entry)
        if (faults.shouldInject(Fault.LATE, id.toString())) delay(faults.plan.lateMs)
        return PrefillReply(
            request = if (faults.shouldInject(Fault.FOREIGN, id.toString())) RequestId("not-$id") else request.request,
            attempt = request.attempt,
            handle = entry.handle,
            promptTokens = tokens,
            cachedTokens = cached,
            kvBytes = entry.bytes,
            expiresInMs = speeds.kvLifetimeMs,
        )
    }

    private suspend fun compute(id: WorkId, hashes: List<Long>, tokens: Int): Int {
        val cached = cache.match(hashes) * facts().blockTokens
        val durationMs = ((tokens - cached) * MS_PER_SECOND / speeds.prefillTokensPerSecond).toLong()
        if (faults.shouldInject(Fault.STALL, id.toString())) awaitCancellation()
        if (faults.shouldInject(Fault.DIE, id.toString())) Runtime.getRuntime().halt(SIGKILL_EXIT_STATUS)
        delay(durationMs)
        counters.prefillTokensRun.addAndGet((tokens - cached).toLong())
        counters.prefillTokensCached.addAndGet(cached.toLong())
        return cached
    }

    private fun blocksOf(tokens: Int): Int = (tokens + facts().blockTokens - 1) / facts().blockTokens

    private companion object {
        const val MS_PER_SECOND = 1_000
        const val SIGKILL_EXIT_STATUS = 137
    }
}
