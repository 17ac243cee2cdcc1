package gentiandale.daemon

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import gentiandale.core.Address
import gentiandale.core.Announcement
import gentiandale.core.Attempt
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad
import gentiandale.core.engine.CancelReply
import gentiandale.core.engine.CancelRequest
import gentiandale.core.engine.DecodeEvent
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.EnginePaths
import gentiandale.core.engine.PrefillReply
import gentiandale.core.engine.PrefillRequest
import gentiandale.daemon.http.HttpJson
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import kotlinx.serialization.KSerializer
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Fault injected into one call to a [FakeEngine]. */
sealed interface Fault {
    /** The prefill or the transfer never ends. */
    data object Stall : Fault

    /** The call is answered with the error [status]. */
    data class Refuse(val status: HttpStatus) : Fault

    /** The prefill reply names another request. */
    data object OtherRequest : Fault

    /** The decode stream stalls before token [index]. */
    data class StallAt(val index: Int) : Fault

    /** The decode stream fails with an error before token [index]. */
    data class BreakAt(val index: Int) : Fault

    /** The decode stream closes without an error or its end event before token [index]. */
    data class CutAt(val index: Int) : Fault

    /** Each token is sent twice. */
    data object Double : Fault

    /** Each pair of tokens is sent in reverse order. */
    data object Swap : Fault

    /** Before each token, a token of another request and one of an earlier attempt are sent. */
    data object Misdirect : Fault
}

/**
 * Fake engine with the HTTP interface of a real one and injected [faults]. It holds the memory of a prefill for
 * [KV_MS] milliseconds, and that of a decode until it has sent the final event of the answer or the request is
 * cancelled; a connection that breaks before then frees the latter only if [freesOnDisconnect].
 */
class FakeEngine(private val name: String, private val kind: ServerKind, val places: Int = 100) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val faults = ConcurrentLinkedQueue<Fault>()
    val held: MutableSet<Pair<RequestId, Attempt>> = ConcurrentHashMap.newKeySet()
    val calls = CopyOnWriteArrayList<RequestId>()
    val decodes = CopyOnWriteArrayList<DecodeRequest>()
    val unconfirmedCancels = AtomicInteger()
    val cancelsSeen = AtomicInteger()
    var freesOnDisconnect = false
    var tokenMs = 1L
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .requestTimeoutMillis(0)
        .service(EnginePaths.PREFILL) { _, req -> answer(req, PrefillRequest.serializer(), ::prefill) }
        .service(EnginePaths.DECODE) { _, req -> answer(req, DecodeRequest.serializer(), ::decode) }
        .service(EnginePaths.CANCEL) { _, req -> answer(req, CancelRequest.serializer(), ::cancelWork) }
        .build()
        .also { it.start().join() }

    val address = Address("127.0.0.1", server.activeLocalPort())

    fun announcement(requests: List<RequestId> = emptyList()) = Announcement(
        ServerFacts(
            ServerId(name),
            Incarnation(1),
            address,
            DataCentreId("dc"),
            kind,
            ModelId("m"),
            places = places,
            memoryBlocks = 1_000,
            prefillTokensPerSecond = 100_000.0,
            linkBytesPerSecond = 1e9,
        ),
        ServerLoad(running = requests.size, requests = requests),
    )

    override fun close() {
        scope.cancel()
        server.stop()
    }

    private suspend fun prefill(request: PrefillRequest): HttpResponse {
        val fault = faults.poll()
        calls += request.request
        if (fault is Fault.Refuse) return HttpResponse.of(fault.status)
        held += request.request to request.attempt
        if (fault == Fault.Stall) awaitCancellation()
        val id = if (fault == Fault.OtherRequest) RequestId("other") else request.request
        scope.launch {
            delay(KV_MS)
            held -= request.request to request.attempt
        }
        val reply = PrefillReply(id, request.attempt, "kv", 1, expiresInMs = KV_MS)
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpJson.encodeToString(PrefillReply.serializer(), reply))
    }

    private fun decode(request: DecodeRequest): HttpResponse {
        val fault = faults.poll()
        calls += request.request
        decodes += request
        if (fault is Fault.Refuse) return HttpResponse.of(fault.status)
        if (held.size >= places) return HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS)
        val key = request.request to request.attempt
        held += key
        val writer = HttpResponse.streaming()
        val streamJob = scope.launch { stream(request, fault, writer) }
        writer.whenComplete().whenComplete { _, cause ->
            if (cause != null) streamJob.cancel()
            if (cause == null || freesOnDisconnect) held -= key
        }
        return writer
    }

    private suspend fun stream(request: DecodeRequest, fault: Fault?, writer: HttpResponseWriter) {
        if (fault == Fault.Stall) awaitCancellation()
        writer.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.EVENT_STREAM).build())
        val swap = fault == Fault.Swap
        for (i in request.firstIndex until request.maxTokens) {
            delay(tokenMs)
            if (fault is Fault.StallAt && i == fault.index) awaitCancellation()
            if (fault is Fault.BreakAt && i == fault.index) return writer.close(IllegalStateException("injected"))
            if (fault is Fault.CutAt && i == fault.index) return writer.close()
            if (fault == Fault.Misdirect) misdirect(writer, request, i)
            val last = request.maxTokens - 1
            writer.event(request, if (swap) (i xor 1).coerceAtMost(last) else i)
            if (fault == Fault.Double) writer.event(request, i)
        }
        val end = DecodeEvent(request.request, request.attempt, request.maxTokens, finish = "length")
        writer.write(HttpData.ofUtf8("data: ${HttpJson.encodeToString(DecodeEvent.serializer(), end)}\n\n"))
        held -= request.request to request.attempt
        writer.close()
    }

    private fun misdirect(writer: HttpResponseWriter, request: DecodeRequest, index: Int) {
        writer.event(request.copy(request = RequestId("other")), index)
        writer.event(request.copy(attempt = Attempt(request.attempt.value - 1)), index)
    }

    private fun HttpResponseWriter.event(request: DecodeRequest, index: Int) {
        val event = DecodeEvent(request.request, request.attempt, index, "w$index ")
        write(HttpData.ofUtf8("data: ${HttpJson.encodeToString(DecodeEvent.serializer(), event)}\n\n"))
    }

    private fun cancelWork(request: CancelRequest): HttpResponse {
        cancelsSeen.incrementAndGet()
        if (unconfirmedCancels.getAndUpdate { maxOf(it - 1, 0) } > 0) {
            return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
        }
        val wasHeld = held.removeIf { it.first == request.request && it.second.value <= request.attempt.value }
        val reply = CancelReply(request.request, wasHeld)
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpJson.encodeToString(CancelReply.serializer(), reply))
    }

    private fun <T> answer(req: HttpRequest, serializer: KSerializer<T>, handle: suspend (T) -> HttpResponse) =
        HttpResponse.of(
            scope.future { handle(HttpJson.decodeFromString(serializer, req.aggregate().await().contentUtf8())) },
        )

    private companion object {
        const val KV_MS = 300L
    }
}
