package gentiandale.route

import gentiandale.core.Attempt
import gentiandale.core.CallOutcome
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.ServerLoad

/**
 * Baseline policy for comparisons: places requests first come, first served on the servers with the least load in
 * their last report, without reserving a decode place.
 */
public class BaselinePolicy : RoutingPolicy {
    private class Server(val facts: ServerFacts, val load: ServerLoad)

    private val servers = LinkedHashMap<ServerId, Server>()
    private val active = HashMap<RequestId, RouteRequest>()

    override fun observe(event: FleetEvent, nowMs: Long): List<Effect> {
        when (event) {
            is FleetEvent.ServerSeen -> servers[event.facts.server] = Server(event.facts, event.load)
            is FleetEvent.ServerGone -> servers.remove(event.server)
            is FleetEvent.CacheChanged, is FleetEvent.CacheGap -> Unit
            is FleetEvent.ModelsChanged, is FleetEvent.RanksChanged -> Unit
        }
        return emptyList()
    }

    override fun submit(request: RouteRequest, nowMs: Long): List<Effect> {
        active[request.request] = request
        return listOf(place(request, Attempt.FIRST, except = null))
    }

    override fun progress(event: RequestEvent, nowMs: Long): List<Effect> = when (event) {
        is RequestEvent.Failed -> listOfNotNull(
            active[event.request]?.let { place(it, event.attempt.next(), except = event.server) },
        )
        is RequestEvent.Answered, is RequestEvent.Cancelled -> {
            active.remove(event.request)
            emptyList()
        }
        is RequestEvent.Prefilled, is RequestEvent.FirstToken -> emptyList()
    }

    override fun tick(nowMs: Long): List<Effect> = emptyList()

    private fun place(request: RouteRequest, attempt: Attempt, except: ServerId?): Effect {
        val prefill = leastLoaded(request, ServerKind.PREFILL, except)
        val decode = leastLoaded(request, ServerKind.DECODE, except)
        if (prefill == null || decode == null || attempt.value > MAX_ATTEMPTS) {
            active.remove(request.request)
            return Effect.Refuse(request.request, noServer(request))
        }
        val pair = ServerPair(prefill.facts.server, decode.facts.server)
        return Effect.Place(request.request, attempt, pair, "least load in the last report")
    }

    private fun leastLoaded(request: RouteRequest, kind: ServerKind, except: ServerId?): Server? = servers.values
        .filter { it.facts.kind == kind && it.facts.model == request.model }
        .filter { !it.facts.leaving && it.facts.server != except }
        .minByOrNull { it.load.running + it.load.queued }

    private fun noServer(request: RouteRequest) = Refusal(
        RefusalReason.NO_SERVER,
        CallOutcome.NOT_RUN,
        "No prefill and decode server of model ${request.model} is known.",
        RETRY_AFTER_MS,
    )

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val RETRY_AFTER_MS = 1_000L
    }
}
