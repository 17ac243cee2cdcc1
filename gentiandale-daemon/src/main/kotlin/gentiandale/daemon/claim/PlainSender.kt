package gentiandale.daemon.claim

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.core.Address
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import java.net.ConnectException
import java.time.Duration

/** Outcome of one attempt to send a call to a server. */
internal sealed interface SendOutcome {
    /** The server answered with [response]. */
    data class Answered(val response: AggregatedHttpResponse) : SendOutcome

    /** The connection was not established, so no byte of the call can have been sent. */
    data class NotSent(val reason: String) : SendOutcome

    /** The call may have run. */
    data class Unknown(val reason: String) : SendOutcome
}

/** Sends calls to plain services over HTTP/1.1, each at most once. */
internal class PlainSender : AutoCloseable {
    private val factory = ClientFactory.builder().connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS)).build()
    private val client = WebClient.builder()
        .factory(factory)
        .responseTimeoutMillis(0)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .decorator(ResetFilter.DECORATOR)
        .build()

    /** Sends [call] to [server] and waits at most [timeoutMs] milliseconds for the response. */
    suspend fun send(call: PlainCall, server: Address, timeoutMs: Long): SendOutcome {
        val response = client.execute(HttpRequest.of(headersFor(call, server), call.body))
        return try {
            withTimeoutOrNull(timeoutMs) { SendOutcome.Answered(response.aggregate().await()) }
                ?: SendOutcome.Unknown("no response within $timeoutMs ms")
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            val reason = e.cause?.message ?: e.message ?: e.javaClass.simpleName
            if (e.provesNothingSent()) SendOutcome.NotSent(reason) else SendOutcome.Unknown(reason)
        } finally {
            response.abort()
        }
    }

    override fun close() {
        factory.close()
    }

    private fun Exception.provesNothingSent() = this is UnprocessedRequestException && cause is ConnectException

    private fun headersFor(call: PlainCall, server: Address): RequestHeaders {
        val headers = RequestHeaders.builder(call.method, "h1c://$server${call.path}")
        call.headers.forEach { name, value ->
            val text = name.toString()
            if (!text.startsWith(":") && text !in HOP_BY_HOP) headers.add(name, value)
        }
        return headers.build()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val MAX_RESPONSE_BYTES = 16L * 1_048_576

        val HOP_BY_HOP = setOf(
            "connection",
            "content-length",
            "host",
            "http2-settings",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )
    }
}
