package gentiandale.daemon.engine

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.Endpoint
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.SessionProtocol
import gentiandale.cluster.order.OrderSender
import gentiandale.core.ServerFacts
import gentiandale.core.engine.EngineOrder
import gentiandale.core.engine.EnginePaths
import gentiandale.daemon.http.HttpJson
import gentiandale.daemon.http.StatusLineFilter
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/** Sends orders over HTTP, each on a new connection that is closed after the response or the timeout. */
internal class HttpOrderSender : OrderSender {
    private val log = LoggerFactory.getLogger("gentiandale.order")

    override suspend fun send(server: ServerFacts, order: EngineOrder, timeoutMs: Long): Boolean {
        val factory = ClientFactory.builder().connectTimeoutMillis(timeoutMs).build()
        try {
            return withTimeoutOrNull(timeoutMs) { post(factory, server, order, timeoutMs) } ?: false
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.info("Order to {} failed: {}", server.server, e.message)
            return false
        } finally {
            factory.closeAsync()
        }
    }

    private suspend fun post(
        factory: ClientFactory,
        server: ServerFacts,
        order: EngineOrder,
        timeoutMs: Long,
    ): Boolean {
        val client = WebClient.builder(SessionProtocol.H1C, Endpoint.of(server.address.host, server.address.port))
            .factory(factory)
            .writeTimeoutMillis(timeoutMs)
            .responseTimeoutMillis(timeoutMs)
            .decorator(StatusLineFilter.DECORATOR)
            .build()
        val headers = RequestHeaders.builder(HttpMethod.POST, EnginePaths.ORDER).contentType(MediaType.JSON).build()
        val body = HttpData.ofUtf8(HttpJson.encodeToString(EngineOrder.serializer(), order))
        return client.execute(headers, body).aggregate().await().status().isSuccess
    }
}
