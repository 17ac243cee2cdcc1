package gentiandale.standin.engine

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.stream.ClosedStreamException
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.engine.DecodeEvent
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.PromptBlocks
import gentiandale.standin.StandinJson
import gentiandale.standin.fault.Fault
import gentiandale.standin.fault.FaultInjector
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Streams answers token by token. Each additional request in the batch slows down all of them. */
internal class Decoder(
    private val facts: () -> ServerFacts,
    private val speeds: EngineSpeeds,
    private val capacity: EngineCapacity,
    private val importer: KvImporter,
    private val counters: EngineCounters,
    private val faults: FaultInjector,
    private val scope: CoroutineScope,
) {
    /**
     * Streams the answer to [request]. Responds 409 if the same attempt is already running, 410 if its KV cache is no
     * longer available, and 429 if no place or memory is free.
     */
    fun serve(request: DecodeRequest): HttpResponse {
        val id = WorkId(request.request, request.attempt)
        val writer = HttpResponse.streaming()
        val job = scope.launch(start = CoroutineStart.LAZY) { stream(id, request, writer) }
        when (capacity.reserve(id, blocksOf(request), job)) {
            ReservationResult.DUPLICATE -> return HttpResponse.of(HttpStatus.CONFLICT)
            ReservationResult.FULL -> return HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS)
            ReservationResult.HELD -> Unit
        }
        writer.whenComplete().whenComplete { _, cause ->
            if (cause != null && !faults.shouldInject(Fault.IGNORED_CANCEL, id.toString())) job.cancel()
        }
        job.invokeOnCompletion { if (it == null) writer.close() else writer.close(ClosedStreamException.get()) }
        job.start()
        return writer
    }

    private suspend fun stream(id: WorkId, request: DecodeRequest, writer: HttpResponseWriter) {
        if (!importer.fetch(request.kvSource, request.kvHandle)) {
            writer.write(ResponseHeaders.of(HttpStatus.GONE))
            return
        }
        if (faults.shouldInject(Fault.LATE, id.toString())) delay(faults.plan.lateMs)
        writer.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.EVENT_STREAM).build())
        val tokenFaults = TokenFaults(id, request)
        for (index in request.firstIndex until request.maxTokens) {
            delay(tokenMs())
            tokenFaults.injectBefore(index)
            writer.send(tokenFaults.eventAt(index))
            if (index == tokenFaults.doubledAt) writer.send(tokenFaults.eventAt(index))
            counters.tokensSent.incrementAndGet()
        }
        writer.send(DecodeEvent(request.request, request.attempt, request.maxTokens, finish = "length"))
        counters.answersFinished.incrementAndGet()
    }

    /** Token indices of one stream at which faults are injected. */
    private inner class TokenFaults(id: WorkId, private val request: DecodeRequest) {
        private val tokenCount = request.maxTokens - request.firstIndex
        private val stallAt = indexOf(Fault.STALL, id)
        private val cutAt = indexOf(Fault.CUT, id)
        private val dieAt = indexOf(Fault.DIE, id)
        private val foreignAt = indexOf(Fault.FOREIGN, id)
        val doubledAt = indexOf(Fault.DOUBLED, id)

        private fun indexOf(fault: Fault, id: WorkId) =
            faults.injectionIndex(fault, id.toString(), tokenCount)?.plus(request.firstIndex)

        suspend fun injectBefore(index: Int) {
            if (index == stallAt) awaitCancellation()
            if (index == dieAt) Runtime.getRuntime().halt(SIGKILL_EXIT_STATUS)
            if (index == cutAt) throw CancellationException("Injected fault: connection cut before token $index")
        }

        fun eventAt(index: Int): DecodeEvent {
            val requestId = if (index == foreignAt) RequestId("not-${request.request}") else request.request
            return DecodeEvent(requestId, request.attempt, index, AnswerText.token(request.prompt, index))
        }
    }

    private fun tokenMs(): Long =
        (speeds.tokenMs + speeds.tokenMsPerRequest * (capacity.ids.size - 1).coerceAtLeast(0)).toLong()

    private fun blocksOf(request: DecodeRequest): Int {
        val tokens = PromptBlocks.tokens(request.prompt) + request.maxTokens
        return (tokens + facts().blockTokens - 1) / facts().blockTokens
    }

    private fun HttpResponseWriter.send(event: DecodeEvent) {
        write(HttpData.ofUtf8("data: ${StandinJson.encodeToString(DecodeEvent.serializer(), event)}\n\n"))
    }

    private companion object {
        const val SIGKILL_EXIT_STATUS = 137
    }
}
