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

/** Streams answers. Each further request in the batch slows all of them. */
internal class Decoder(
    private val facts: () -> ServerFacts,
    private val speeds: EngineSpeeds,
    private val held: HeldWork,
    private val import: KvImport,
    private val counts: EngineCounts,
    private val faults: FaultInjector,
    private val scope: CoroutineScope,
) {
    /** Answers [request] with a stream; 409 if the same attempt runs, 410 if its KV cache is gone, 429 if full. */
    fun serve(request: DecodeRequest): HttpResponse {
        val id = WorkId(request.request, request.attempt)
        val writer = HttpResponse.streaming()
        val job = scope.launch(start = CoroutineStart.LAZY) { stream(id, request, writer) }
        when (held.hold(id, blocksOf(request), job)) {
            HoldOutcome.DUPLICATE -> return HttpResponse.of(HttpStatus.CONFLICT)
            HoldOutcome.FULL -> return HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS)
            HoldOutcome.HELD -> Unit
        }
        writer.whenComplete().whenComplete { _, cause ->
            if (cause != null && !faults.shouldInject(Fault.IGNORED_CANCEL, id.toString())) job.cancel()
        }
        job.invokeOnCompletion { if (it == null) writer.close() else writer.close(ClosedStreamException.get()) }
        job.start()
        return writer
    }

    private suspend fun stream(id: WorkId, request: DecodeRequest, writer: HttpResponseWriter) {
        if (!import.fetch(request.kvSource, request.kvHandle)) {
            writer.write(ResponseHeaders.of(HttpStatus.GONE))
            return
        }
        if (faults.shouldInject(Fault.LATE, id.toString())) delay(faults.plan.lateMs)
        writer.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.EVENT_STREAM).build())
        val faulty = FaultySteps(id, request)
        for (index in request.firstIndex until request.maxTokens) {
            delay(tokenMs())
            faulty.before(index)
            writer.send(faulty.eventAt(index))
            if (index == faulty.doubledAt) writer.send(faulty.eventAt(index))
            counts.tokensSent.incrementAndGet()
        }
        writer.send(DecodeEvent(request.request, request.attempt, request.maxTokens, finish = "length"))
        counts.answersFinished.incrementAndGet()
    }

    /** Steps of one stream at which faults strike. */
    private inner class FaultySteps(id: WorkId, private val request: DecodeRequest) {
        private val steps = request.maxTokens - request.firstIndex
        private val stallAt = at(Fault.STALL, id)
        private val cutAt = at(Fault.CUT, id)
        private val dieAt = at(Fault.DIE, id)
        private val foreignAt = at(Fault.FOREIGN, id)
        val doubledAt = at(Fault.DOUBLED, id)

        private fun at(fault: Fault, id: WorkId) =
            faults.injectionIndex(fault, id.toString(), steps)?.plus(request.firstIndex)

        suspend fun before(index: Int) {
            if (index == stallAt) awaitCancellation()
            if (index == dieAt) Runtime.getRuntime().halt(DIED)
            if (index == cutAt) throw CancellationException("The connection breaks.")
        }

        fun eventAt(index: Int): DecodeEvent {
            val owner = if (index == foreignAt) RequestId("not-${request.request}") else request.request
            return DecodeEvent(owner, request.attempt, index, AnswerText.token(request.prompt, index))
        }
    }

    private fun tokenMs(): Long =
        (speeds.tokenMs + speeds.tokenMsPerRequest * (held.ids.size - 1).coerceAtLeast(0)).toLong()

    private fun blocksOf(request: DecodeRequest): Int {
        val tokens = PromptBlocks.tokens(request.prompt) + request.maxTokens
        return (tokens + facts().blockTokens - 1) / facts().blockTokens
    }

    private fun HttpResponseWriter.send(event: DecodeEvent) {
        write(HttpData.ofUtf8("data: ${StandinJson.encodeToString(DecodeEvent.serializer(), event)}\n\n"))
    }

    private companion object {
        const val DIED = 137
    }
}
