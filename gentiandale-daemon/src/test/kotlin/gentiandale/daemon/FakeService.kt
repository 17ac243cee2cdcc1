package gentiandale.daemon

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import gentiandale.core.Address
import gentiandale.core.Announcement
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** Fault injected into one call to a [FakeService]. */
enum class ServiceFault {
    /** The call runs, but its reply is lost. */
    LOSE_REPLY,

    /** The call runs, but is never answered. */
    STALL,
}

/** Plain service that counts how many times each body was executed. */
class FakeService(private val name: String, port: Int = 0) : AutoCloseable {
    val runs = ConcurrentHashMap<String, Int>()
    val faults = ConcurrentLinkedQueue<ServiceFault>()
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", port))
        .requestTimeoutMillis(0)
        .service("glob:/**") { _, req -> HttpResponse.of(req.aggregate().thenCompose(::run)) }
        .build()
        .also { it.start().join() }

    val announcement = announcementOf(name, server.activeLocalPort())

    @Volatile var delayMs = 0L

    val total get() = runs.values.sum()

    override fun close() {
        server.stop()
    }

    private fun run(req: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val body = req.contentUtf8()
        val count = runs.merge(body, 1, Int::plus)
        return when (faults.poll()) {
            ServiceFault.LOSE_REPLY -> CompletableFuture.completedFuture(HttpResponse.ofFailure(LOST))
            ServiceFault.STALL -> CompletableFuture()
            null -> {
                val answer = HttpResponse.of(
                    HttpStatus.CREATED,
                    MediaType.PLAIN_TEXT_UTF_8,
                    "$body ran $count on $name",
                )
                val later = CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS)
                CompletableFuture.supplyAsync({ answer }, later)
            }
        }
    }

    companion object {
        private val LOST = com.linecorp.armeria.common.stream.AbortedStreamException.get()

        /** Returns the announcement of a service on [port], which need not be listening. */
        fun announcementOf(name: String, port: Int) = Announcement(
            ServerFacts(
                ServerId(name),
                Incarnation(1),
                Address("127.0.0.1", port),
                DataCentreId("dc"),
                ServerKind.PLAIN,
                service = "orders",
                places = 10,
            ),
        )
    }
}
