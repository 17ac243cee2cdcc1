package gentiandale.cli.client

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.core.Address
import gentiandale.core.CallOutcome
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletionException

/** HTTP client of the operator API of the entry VM at [vm]. */
internal class VmClient(private val vm: Address, timeoutMs: Long) : AutoCloseable {
    private val factory = ClientFactory.builder().connectTimeoutMillis(CONNECT_TIMEOUT_MS).build()
    private val client = WebClient.builder().factory(factory).responseTimeoutMillis(timeoutMs).build()

    /** Sends a GET for [path] and decodes the answer with [answer]. */
    fun <T> get(path: String, answer: KSerializer<T>): Reply<T> =
        execute(HttpRequest.of(HttpMethod.GET, "http://$vm$path"), answer)

    /** Posts [body] as JSON to [path] and decodes the answer with [answer]. */
    fun <Q, T> post(path: String, bodySerializer: KSerializer<Q>, body: Q, answer: KSerializer<T>): Reply<T> {
        val headers = RequestHeaders.builder(HttpMethod.POST, "http://$vm$path").contentType(MediaType.JSON).build()
        return execute(HttpRequest.of(headers, HttpData.ofUtf8(json.encodeToString(bodySerializer, body))), answer)
    }

    override fun close() = factory.close()

    private fun <T> execute(request: HttpRequest, answer: KSerializer<T>): Reply<T> {
        val response = try {
            client.execute(request).aggregate().join()
        } catch (e: CompletionException) {
            return failure(e.cause ?: e)
        }
        return try {
            read(response, answer)
        } catch (e: SerializationException) {
            Reply.OutcomeUnknown("$vm answered ${response.status()} with an invalid body: ${e.message}")
        }
    }

    private fun failure(cause: Throwable): Reply<Nothing> {
        val detail = "$vm: ${cause.message ?: cause.javaClass.simpleName}"
        return if (cause is UnprocessedRequestException) Reply.NotReachable(detail) else Reply.OutcomeUnknown(detail)
    }

    private fun <T> read(response: AggregatedHttpResponse, answer: KSerializer<T>): Reply<T> {
        val text = response.contentUtf8()
        if (response.status().isSuccess) return Reply.Ok(json.decodeFromString(answer, text.ifEmpty { "{}" }))
        val isProblem = response.contentType()?.subtype()?.endsWith("json") == true
        val plain = ProblemBody(response.status().code().toString(), text)
        val problem = if (isProblem) json.decodeFromString(ProblemBody.serializer(), text) else plain
        val unknown = problem.outcome == CallOutcome.UNKNOWN || response.status() == HttpStatus.GATEWAY_TIMEOUT
        return if (unknown) Reply.OutcomeUnknown(problem.detail) else Reply.Refused(problem)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 3_000L
        val json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }
    }
}
