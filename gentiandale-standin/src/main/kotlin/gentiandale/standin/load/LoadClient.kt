package gentiandale.standin.load

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import gentiandale.core.Address
import gentiandale.core.Attempt
import gentiandale.core.ModelId
import gentiandale.core.engine.DecodeEvent
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.EnginePaths
import gentiandale.core.engine.PrefillReply
import gentiandale.core.engine.PrefillRequest
import gentiandale.standin.StandinJson
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import kotlinx.coroutines.reactive.asFlow
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/** Sends planned requests to an entry VM, or directly to the engines of [direct]. */
internal class LoadClient(private val model: String, private val direct: DirectBaseline?) : AutoCloseable {
    private val log = LoggerFactory.getLogger("gentiandale.load")
    private val factory = ClientFactory.builder().connectTimeoutMillis(CONNECT_TIMEOUT_MS).build()
    private val client = WebClient.builder().factory(factory).responseTimeoutMillis(0).maxResponseLength(0).build()

    /** Opens a connection to each of [targets] and to the engines, so that no result includes connection set-up. */
    suspend fun warmUp(targets: List<Address>) {
        val engines = direct?.let { listOf(it.prefill, it.decode) }.orEmpty()
        (targets.map { "http://$it/healthz" } + engines.map { "http://$it/engine/load" }).forEach { url ->
            try {
                client.get(url).aggregate().await()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.info("Warm-up request to {} failed: {}", url, e.message)
            }
        }
    }

    /** Sends [planned] and suspends until its result is known. */
    suspend fun call(planned: PlannedRequest): CallResult {
        val timer = StreamTimer(planned) { System.nanoTime() / NANOS_PER_MS }
        return try {
            if (planned.target == null) callEngines(planned, timer) else callVm(planned, planned.target, timer)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            val detail = e.javaClass.simpleName
            if (timer.started) CallResult.Cut(detail) else CallResult.Unreachable(detail)
        }
    }

    override fun close() {
        factory.close()
    }

    private suspend fun callVm(planned: PlannedRequest, vm: Address, timer: StreamTimer): CallResult {
        val headers = RequestHeaders.builder(HttpMethod.POST, "http://$vm/v1/completions")
            .contentType(MediaType.JSON)
            .add("x-request-id", planned.request.value)
            .add("x-gentian-rank", planned.rank.value)
            .build()
        val call = CompletionCall(model, planned.prompt, planned.maxTokens)
        val response = VmResponseReader(timer)
        client.execute(request(headers, CompletionCall.serializer(), call)).asFlow().collect { part ->
            when (part) {
                is ResponseHeaders -> response.onHeaders(part)
                is HttpData -> response.onData(part.array())
            }
        }
        return response.result()
    }

    private suspend fun callEngines(planned: PlannedRequest, timer: StreamTimer): CallResult {
        val engines = requireNotNull(direct) { "No direct engines configured for request ${planned.request}." }
        val body = PrefillRequest(planned.request, Attempt.FIRST, ModelId(model), null, planned.prompt, 0, DEADLINE_MS)
        val prefill = request(post(engines.prefill, EnginePaths.PREFILL), PrefillRequest.serializer(), body)
        val reply = client.execute(prefill).aggregate().await()
        if (!reply.status().isSuccess) return CallResult.Refused("status ${reply.status()}", null, timer.elapsedMs)
        val kv = StandinJson.decodeFromString(PrefillReply.serializer(), reply.contentUtf8())
        return decode(planned, engines, kv, timer)
    }

    private suspend fun decode(
        planned: PlannedRequest,
        engines: DirectBaseline,
        kv: PrefillReply,
        timer: StreamTimer,
    ): CallResult {
        val body = DecodeRequest(
            request = planned.request,
            attempt = Attempt.FIRST,
            model = ModelId(model),
            prompt = planned.prompt,
            kvSource = engines.prefill.toString(),
            kvHandle = kv.handle,
            maxTokens = planned.maxTokens,
            deadlineMs = DEADLINE_MS,
        )
        val reader = EventReader()
        var result: CallResult = CallResult.Cut("stream ended without a final event")
        val decode = request(post(engines.decode, EnginePaths.DECODE), DecodeRequest.serializer(), body)
        client.execute(decode).asFlow().collect { part ->
            if (part is HttpData) {
                reader.feed(part.array()).forEach { serverEvent ->
                    val event = StandinJson.decodeFromString(DecodeEvent.serializer(), serverEvent.data)
                    if (event.finish == null) timer.onToken(event.text) else result = timer.result()
                }
            }
        }
        return result
    }

    private fun post(server: Address, path: String) =
        RequestHeaders.builder(HttpMethod.POST, "http://$server$path").contentType(MediaType.JSON).build()

    private fun <T> request(headers: RequestHeaders, serializer: KSerializer<T>, body: T): HttpRequest =
        HttpRequest.of(headers, HttpData.ofUtf8(StandinJson.encodeToString(serializer, body)))

    /** Reads the streamed response or the problem document of an entry VM. */
    private class VmResponseReader(private val timer: StreamTimer) {
        private val reader = EventReader()
        private val problem = StringBuilder()
        private var refused = false
        private var finishReceived = false
        private var error: String? = null
        private var doneReceived = false

        fun onHeaders(headers: ResponseHeaders) {
            refused = !headers.status().isSuccess
        }

        fun onData(bytes: ByteArray) {
            if (refused) problem.append(bytes.toString(Charsets.UTF_8)) else reader.feed(bytes).forEach(::onEvent)
        }

        fun result(): CallResult = when {
            refused -> refusal()
            error != null -> CallResult.Cut("error event: $error")
            finishReceived && doneReceived -> timer.result()
            else -> CallResult.Cut("stream ended without a final event")
        }

        private fun onEvent(event: ServerEvent) {
            when {
                event.name == "error" -> error = refusalBody(event.data).reason
                event.data == "[DONE]" -> doneReceived = true
                else -> StandinJson.decodeFromString(CompletionChunk.serializer(), event.data).choices.forEach {
                    if (it.finish != null) finishReceived = true else timer.onToken(it.text)
                }
            }
        }

        private fun refusal(): CallResult {
            val body = refusalBody(problem.toString())
            return CallResult.Refused(body.reason, body.outcome, timer.elapsedMs)
        }

        private fun refusalBody(text: String): RefusalBody = try {
            StandinJson.decodeFromString(RefusalBody.serializer(), text)
        } catch (e: SerializationException) {
            RefusalBody()
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val DEADLINE_MS = 60_000L
        const val NANOS_PER_MS = 1e6
    }
}
