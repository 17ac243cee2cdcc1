package gentiandale.relay.request

import gentiandale.core.Clock
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import gentiandale.relay.RelayEvent
import gentiandale.relay.RelayListener
import gentiandale.relay.RelayStats
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.BackendRegistry
import gentiandale.relay.placement.AnswerLengthEstimator
import gentiandale.relay.placement.GenerationPlacement
import gentiandale.relay.placement.PlainPlacement
import gentiandale.relay.placement.RejectionPolicy
import gentiandale.relay.placement.RestPolicy
import gentiandale.relay.placement.RetryBudget
import gentiandale.relay.upstream.Dialect
import gentiandale.relay.upstream.Upstreams
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import kotlin.random.Random

/** Policies for placement and retries, which can be tested without a network. */
internal class PlacementPolicies(
    val plainPlacement: PlainPlacement,
    val generationPlacement: GenerationPlacement,
    val answerLengths: AnswerLengthEstimator,
    val rejections: RejectionPolicy,
    val quarantine: PromptQuarantine,
    val budgetOf: (ServiceName) -> RetryBudget,
    val random: Random,
)

/** Dependencies shared by the handlers of all requests. Confined to the event loop. */
internal class RelayContext(
    val loop: EventLoop,
    private val clock: Clock,
    val registry: BackendRegistry,
    val upstreams: Upstreams,
    val dialect: Dialect,
    val policies: PlacementPolicies,
    val log: EventLog,
    val stats: RelayStats,
    val listener: RelayListener,
) {
    /** Returns the monotonic time in milliseconds. */
    val nowMs: () -> Long = clock::monotonicMs

    /** Plain calls of this VM that wait because all servers were full. */
    var waitingCalls = 0
    val queue = GenerationQueue(loop, nowMs)
    val plainPlacement get() = policies.plainPlacement
    val generationPlacement get() = policies.generationPlacement
    val answerLengths get() = policies.answerLengths
    val quarantine get() = policies.quarantine
    val random get() = policies.random

    /** Returns the retry budget of [service]. */
    fun budgetOf(service: ServiceName): RetryBudget = policies.budgetOf(service)

    /** Returns the servers of [service] that accept work. */
    fun candidates(service: ServiceName): List<Backend> = registry.ready(service, nowMs())

    /** Returns the milliseconds until a server of [service] accepts work again if all rest now, or null. */
    fun restLeftMs(service: ServiceName): Long? = registry.restLeftMs(service, nowMs())

    /** Reads what the [head] of an answer to [request] says about [server] itself. */
    fun readNotices(server: Backend, request: String?, head: HttpResponse) {
        if (dialect.isLeaving(head.headers()) && !server.row.departing) {
            val row = server.row.copy(departing = true)
            registry.merge(row)
            listener.onDeparting(row)
            noteServer(request, server, "leaving", null)
        }
        readLimit(server, request, head)
        val retryAfter = head.headers().get(HttpHeaderNames.RETRY_AFTER)
        val date = head.headers().get(HttpHeaderNames.DATE)
        val restMs = RestPolicy.restMs(head.status().code(), retryAfter, date, clock.wallMs()) ?: return
        server.rest(nowMs() + restMs)
        noteServer(request, server, "rest", restMs)
    }

    private fun readLimit(server: Backend, request: String?, head: HttpResponse) {
        val stated = dialect.requestLimit(head.headers())?.take(MAX_LIMIT_LENGTH)
        if (stated == server.statedLimit) return
        server.statedLimit = stated
        log.write(RelayEvent.LimitStated(request, server.row, stated))
        stats.onServerNotice("limit")
    }

    private fun noteServer(request: String?, server: Backend, kind: String, restMs: Long?) {
        log.write(RelayEvent.ServerNotice(request, server.row, kind, restMs))
        stats.onServerNotice(kind)
    }

    private companion object {
        /** Longer than any number that makes sense as a limit. */
        const val MAX_LIMIT_LENGTH = 32
    }
}
