package gentiandale.daemon.claim

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import gentiandale.core.Address
import gentiandale.daemon.http.ResetFilter
import gentiandale.daemon.http.StatusLineFilter
import io.netty.channel.epoll.EpollChannelOption
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket
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
    private val log = LoggerFactory.getLogger("gentiandale.route")

    // Responses bear no id, so that on a kept connection a late copy would be taken for the response to the next call.
    private val factory = ClientFactory.builder()
        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
        .maxNumRequestsPerConnection(1)
        .channelOption(EpollChannelOption.TCP_NOTSENT_LOWAT, ResetFilter.MAX_UNSENT_BYTES)
        .build()
    private val client = WebClient.builder()
        .factory(factory)
        .responseTimeoutMillis(0)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .decorator(ResetFilter.DECORATOR)
        .decorator(StatusLineFilter.DECORATOR)
        .build()

    /**
     * Sends [call] to [server] and waits at most [timeoutMs] milliseconds for the response.
     *
     * @param isLeaving returns whether the server has said that it leaves, after which its process ends in order.
     */
    suspend fun send(
        call: PlainCall,
        server: Address,
        timeoutMs: Long,
        isLeaving: () -> Boolean = { false },
    ): SendOutcome {
        val captor = Clients.newContextCaptor()
        val response = captor.use { client.execute(HttpRequest.of(headersFor(call, server), call.body)) }
        return try {
            withTimeoutOrNull(timeoutMs) {
                val answer = response.aggregate().await()
                when {
                    !isUnframed(captor.get()) -> SendOutcome.Answered(answer)
                    answer.containsOwnHead() || answer.endsInsideOwnHead() -> SendOutcome.Unknown(DOUBLED)
                    refusesConnections(server) && !isLeaving() -> SendOutcome.Unknown(CUT)
                    else -> SendOutcome.Answered(answer)
                }
            } ?: SendOutcome.Unknown("no response within $timeoutMs ms")
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

    private fun isUnframed(context: ClientRequestContext): Boolean =
        context.log().partial().channel()?.let(ResetFilter::isUnframed) ?: false

    /** Returns whether [server], which has just closed a connection, refuses a new one as its process has ended. */
    private suspend fun refusesConnections(server: Address): Boolean {
        delay(CHECK_DELAY_MS)
        return withContext(Dispatchers.IO) {
            try {
                Socket().use { it.connect(InetSocketAddress(server.host, server.port), CHECK_TIMEOUT_MS) }
                false
            } catch (e: ConnectException) {
                log.info("Server {} has closed a connection and refuses new ones: {}.", server, e.message)
                true
            } catch (e: IOException) {
                log.info("Server {} could not be checked after the end of a response: {}.", server, e.message)
                false
            }
        }
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
        const val DOUBLED = "response without a length was followed by a second response"
        const val CUT = "response without a length ended as its server refused connections"

        /** Longer than a process that is killed takes to close its sockets. */
        const val CHECK_DELAY_MS = 30L
        const val CHECK_TIMEOUT_MS = 250

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
