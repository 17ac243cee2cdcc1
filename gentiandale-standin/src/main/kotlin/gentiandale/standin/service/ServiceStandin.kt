package gentiandale.standin.service

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.stream.ClosedStreamException
import com.linecorp.armeria.server.Server
import gentiandale.core.Announcement
import gentiandale.core.ServerFacts
import gentiandale.core.ServerLoad
import gentiandale.standin.BackendStandin
import gentiandale.standin.StandinJson
import gentiandale.standin.announce.Announcer
import gentiandale.standin.announce.ReportSchedule
import gentiandale.standin.fault.Fault
import gentiandale.standin.fault.FaultInjector
import gentiandale.standin.fault.FaultPlan
import gentiandale.standin.fault.FaultService
import gentiandale.standin.json
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Response of the plain stand-in; [run] is the sequence number of this run of the [service]. */
@Serializable
internal data class ServiceReply(val service: String, val run: Long, val path: String, val body: String)

/** Stand-in for a plain service. It counts the runs for each idempotency key and never deduplicates calls. */
public class ServiceStandin(
    private val facts: ServerFacts,
    schedule: ReportSchedule,
    private val workMs: Long,
    plan: FaultPlan = FaultPlan(),
) : BackendStandin {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val faults = FaultInjector(plan)
    private val total = AtomicLong()
    private val calls = AtomicLong()
    private val running = AtomicInteger()
    private val runs = ConcurrentHashMap<String, Int>()
    private val announcer = Announcer(schedule) {
        Announcement(facts.copy(leaving = leaving), ServerLoad(running = running.get()))
    }

    @Volatile
    private var leaving = false

    private val server = Server.builder()
        .http(InetSocketAddress(facts.address.host, facts.address.port))
        .requestTimeoutMillis(0)
        .service("/standin/report") { _, _ -> json(ServiceReport.serializer(), report()) }
        .service("/standin/faults", FaultService(faults))
        .service("regex:^/.*$") { _, req -> HttpResponse.of(scope.future { serve(req.aggregate().await()) }) }
        .build()

    override val port: Int get() = server.activeLocalPort()

    override val holdsWork: Boolean get() = running.get() > 0

    override fun start() {
        server.start().join()
        announcer.start(scope)
    }

    override suspend fun leave() {
        leaving = true
        announcer.announceNow()
    }

    override fun close() {
        server.stop()
        scope.coroutineContext[Job]?.cancel()
    }

    private suspend fun serve(req: AggregatedHttpRequest): HttpResponse {
        running.incrementAndGet()
        try {
            return run(req)
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun run(req: AggregatedHttpRequest): HttpResponse {
        val subject = "call ${calls.incrementAndGet()}"
        if (faults.shouldInject(Fault.REST, subject)) return restResponse()
        val run = total.incrementAndGet()
        req.headers().get(IDEMPOTENCY_KEY)?.let { key -> runs.merge(key, 1, Int::plus) }
        delay(workMs)
        if (faults.shouldInject(Fault.STALL, subject)) awaitCancellation()
        if (faults.shouldInject(Fault.DIE, subject)) Runtime.getRuntime().halt(SIGKILL_EXIT_STATUS)
        if (faults.shouldInject(Fault.LATE, subject)) delay(faults.plan.lateMs)
        val reply = ServiceReply(facts.service.orEmpty(), run, req.path(), req.contentUtf8())
        return respond(reply, subject)
    }

    private fun respond(reply: ServiceReply, subject: String): HttpResponse {
        val response = json(ServiceReply.serializer(), reply)
        return when {
            faults.shouldInject(Fault.CUT, subject) -> truncatedResponse(reply)
            faults.shouldInject(Fault.ENDLESS, subject) -> endlessResponse()
            faults.shouldInject(Fault.LEAVING, subject) ->
                response.mapHeaders { it.toBuilder().add(SERVER_LEAVING, "1").build() }
            else -> response
        }
    }

    private fun restResponse(): HttpResponse {
        val seconds = faults.plan.lateMs / MS_PER_S
        return HttpResponse.of(
            ResponseHeaders.of(HttpStatus.SERVICE_UNAVAILABLE, HttpHeaderNames.RETRY_AFTER, "$seconds"),
        )
    }

    private fun endlessResponse(): HttpResponse {
        val writer = HttpResponse.streaming()
        writer.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).build())
        scope.launch {
            while (writer.tryWrite(HttpData.copyOf(FILLER))) delay(ENDLESS_INTERVAL_MS)
        }
        return writer
    }

    private fun truncatedResponse(reply: ServiceReply): HttpResponse {
        val text = StandinJson.encodeToString(ServiceReply.serializer(), reply)
        val writer = HttpResponse.streaming()
        writer.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).build())
        writer.write(HttpData.ofUtf8(text.take(text.length / 2)))
        writer.close(ClosedStreamException.get())
        return writer
    }

    private fun report() = ServiceReport(facts.server, runs.toSortedMap(), total.get())

    private companion object {
        const val IDEMPOTENCY_KEY = "idempotency-key"
        const val SERVER_LEAVING = "server-leaving"
        const val MS_PER_S = 1_000.0
        const val ENDLESS_INTERVAL_MS = 5L

        /** Part of an endless body. */
        val FILLER = ByteArray(16_384) { ' '.code.toByte() }

        const val SIGKILL_EXIT_STATUS = 137
    }
}
