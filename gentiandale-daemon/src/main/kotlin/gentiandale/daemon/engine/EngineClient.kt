package gentiandale.daemon.engine

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.DecoratingHttpClientFunction
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.logging.RequestLogProperty
import gentiandale.core.Address
import gentiandale.core.engine.CancelReply
import gentiandale.core.engine.CancelRequest
import gentiandale.core.engine.DecodeEvent
import gentiandale.core.engine.DecodeRequest
import gentiandale.core.engine.EnginePaths
import gentiandale.core.engine.PrefillReply
import gentiandale.core.engine.PrefillRequest
import gentiandale.daemon.http.HttpJson
import gentiandale.daemon.http.ResetFilter
import gentiandale.daemon.http.StatusLineFilter
import io.netty.channel.epoll.EpollChannelOption
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.future.await
import kotlinx.coroutines.reactive.asFlow
import kotlinx.serialization.KSerializer
import java.time.Duration

/** Thrown when a call to an engine failed with [status], or without a response if that is null. */
public class EngineFailure(public val status: Int?, message: String) : Exception(message)

/** Calls model engines over HTTP. */
public class EngineClient : AutoCloseable {
    private val factory = ClientFactory.builder()
        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
        .channelOption(EpollChannelOption.TCP_NOTSENT_LOWAT, ResetFilter.MAX_UNSENT_BYTES)
        .build()
    private val client = WebClient.builder()
        .factory(factory)
        .maxResponseLength(0)
        .responseTimeoutMillis(0)
        .decorator(SINGLE_USE_HTTP1)
        .decorator(ResetFilter.DECORATOR)
        .decorator(StatusLineFilter.DECORATOR)
        .build()

    /** Runs a prefill at [server]. */
    public suspend fun prefill(server: Address, request: PrefillRequest): PrefillReply =
        call(server, EnginePaths.PREFILL, PrefillRequest.serializer(), request, PrefillReply.serializer())

    /** Cancels a request at [server]. */
    public suspend fun cancel(server: Address, request: CancelRequest): CancelReply =
        call(server, EnginePaths.CANCEL, CancelRequest.serializer(), request, CancelReply.serializer())

    /**
     * Streams the events of a decode at [server] and calls [onOpened] when the engine has accepted the call. Cancelling
     * the collector closes the stream.
     */
    public fun decode(server: Address, request: DecodeRequest, onOpened: () -> Unit): Flow<DecodeEvent> = flow {
        val body = HttpJson.encodeToString(DecodeRequest.serializer(), request)
        val parser = EventStreamParser()
        post(server, EnginePaths.DECODE, body).asFlow().collect { part ->
            when (part) {
                is ResponseHeaders -> if (!part.status().isInformational) {
                    checkStatus(part, server)
                    onOpened()
                }
                is HttpData -> parser.feed(part.array()).forEach {
                    emit(HttpJson.decodeFromString(DecodeEvent.serializer(), it))
                }
            }
        }
    }

    override fun close() {
        factory.close()
    }

    private suspend fun <Q, R> call(
        server: Address,
        path: String,
        requestSerializer: KSerializer<Q>,
        request: Q,
        responseSerializer: KSerializer<R>,
    ): R {
        val stream = post(server, path, HttpJson.encodeToString(requestSerializer, request))
        val response = try {
            stream.aggregate().await()
        } catch (e: CancellationException) {
            stream.abort()
            throw e
        }
        checkStatus(response.headers(), server)
        return HttpJson.decodeFromString(responseSerializer, response.contentUtf8())
    }

    private fun post(server: Address, path: String, body: String): HttpResponse {
        val headers = RequestHeaders.builder(HttpMethod.POST, "http://$server$path").contentType(MediaType.JSON).build()
        return client.execute(HttpRequest.of(headers, HttpData.ofUtf8(body)))
    }

    private fun checkStatus(headers: ResponseHeaders, server: Address) {
        val status = headers.status()
        if (!status.isSuccess) throw EngineFailure(status.code(), "$server answered $status")
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L

        /**
         * Closes HTTP/1.1 connections after one call: a late copy of a response there would be taken for the response
         * to the next call. HTTP/2 numbers its streams.
         */
        val SINGLE_USE_HTTP1 = DecoratingHttpClientFunction { delegate, ctx, request ->
            ctx.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log ->
                if (!log.sessionProtocol().isMultiplex) ctx.initiateConnectionShutdown()
            }
            delegate.execute(ctx, request)
        }
    }
}
