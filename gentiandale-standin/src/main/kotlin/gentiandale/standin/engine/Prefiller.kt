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

/** Runs prefills one at a time, the most urgent first, and leaves their KV caches in the [store]. */
internal class Prefiller(
    private val facts: () -> ServerFacts,
    private val speeds: EngineSpeeds,
    private val held: HeldWork,
    private val store: KvStore,
    private val cache: PrefixCache,
    private val events: CacheEvents,
    private val counts: EngineCounts,
    private val faults: FaultInjector,
    private val scope: CoroutineScope,
) {
    private val gate = PriorityGate()
    private val waiting = AtomicLong()

    /** Prompt tokens that wait for their prefill. */
    val queuedTokens: Long get() = waiting.get()

    /** Answers [request] with a [PrefillReply]; 409 if cancelled or running already, 429 if there is no room. */
    suspend fun serve(request: PrefillRequest): HttpResponse {
        val id = WorkId(request.request, request.attempt)
        val reply = CompletableDeferred<PrefillReply>()
        val job = scope.launch(start = CoroutineStart.LAZY) { reply.complete(run(id, request)) }
        job.invokeOnCompletion { reply.cancel() }
        val tokens = PromptBlocks.tokens(request.prompt)
        when (held.hold(id, blocksOf(tokens), job)) {
            HoldOutcome.DUPLICATE -> return HttpResponse.of(HttpStatus.CONFLICT)
            HoldOutcome.FULL -> return HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS)
            HoldOutcome.HELD -> job.start()
        }
        job.join()
        if (job.isCancelled) return HttpResponse.of(HttpStatus.CONFLICT)
        return json(PrefillReply.serializer(), reply.await())
    }

    private suspend fun run(id: WorkId, request: PrefillRequest): PrefillReply {
        val tokens = PromptBlocks.tokens(request.prompt)
        val hashes = PromptBlocks.hashes(request.prompt, facts().blockTokens)
        waiting.addAndGet(tokens.toLong())
        val cached = try {
            gate.pass(request.priority) { read(id, hashes, tokens) }
        } finally {
            waiting.addAndGet(-tokens.toLong())
        }
        events.publish(cache.store(hashes))
        val entry = KvEntry("kv-$id", id, tokens * speeds.kvBytesPerToken, tokens - cached, blocksOf(tokens))
        store.keep(entry)
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

    private suspend fun read(id: WorkId, hashes: List<Long>, tokens: Int): Int {
        val cached = cache.match(hashes) * facts().blockTokens
        val time = ((tokens - cached) * MS_PER_SECOND / speeds.prefillTokensPerSecond).toLong()
        if (faults.shouldInject(Fault.STALL, id.toString())) awaitCancellation()
        if (faults.shouldInject(Fault.DIE, id.toString())) Runtime.getRuntime().halt(DIED)
        delay(time)
        counts.prefillRun.addAndGet((tokens - cached).toLong())
        counts.prefillCached.addAndGet(cached.toLong())
        return cached
    }

    private fun blocksOf(tokens: Int): Int = (tokens + facts().blockTokens - 1) / facts().blockTokens

    private companion object {
        const val MS_PER_SECOND = 1_000
        const val DIED = 137
    }
}
