package gentiandale.daemon.request

import gentiandale.cluster.cell.CELLS
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.Clock
import gentiandale.core.Configuration
import gentiandale.core.KnownServer
import gentiandale.core.ModelRecord
import gentiandale.core.RankRecord
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.recognisedRecords
import gentiandale.route.Effect
import gentiandale.route.FleetEvent
import gentiandale.route.RequestEvent
import gentiandale.route.RouteRequest
import gentiandale.route.RoutingPolicy
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.distinctUntilChangedBy
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Passes events to the [policy], one at a time, and delivers its effects to the requests that they concern. */
internal class Dispatcher(
    private val board: Blackboard,
    private val policy: RoutingPolicy,
    private val clock: Clock,
    private val journal: RequestJournal,
    private val isOwner: (ServerFacts) -> Boolean = { true },
    private val listener: RequestListener = object : RequestListener {},
) {
    private val log = LoggerFactory.getLogger("gentiandale.route")
    private val sinks = ConcurrentHashMap<RequestId, (Effect) -> Unit>()
    private val submitted = Channel<Unit>(Channel.CONFLATED)
    private val lock = Any()
    private val known = ConcurrentHashMap<ServerId, OwnedServer>()

    /** A server that the policy knows, and the monotonic time at which this VM was last seen to be its owner. */
    private class OwnedServer(val server: KnownServer, val ownedMs: Long)

    /** Starts to report servers and configuration records from the blackboard to the policy, and to run its timers. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            combine(board.watch(Board.SERVERS), board.watch(CELLS)) { servers, _ -> servers }.collect(::updateServers)
        }
        scope.launch {
            board.watch(Board.CONFIGURATION).map { it.configuration }.distinctUntilChangedBy { it.revision }
                .collect(::updateRecords)
        }
        scope.launch {
            while (isActive) {
                if (sinks.isEmpty()) submitted.receive()
                delay(TICK_INTERVAL_MS)
                decide { policy.tick(it) }
            }
        }
    }

    /** Servers that the policy can place requests on. */
    val servers: Set<ServerId> get() = known.keys

    /** Number of requests that are queued or running in the policy. */
    val activeRequests: Int get() = sinks.size

    /** Returns whether [request] is queued or running in the policy. */
    fun holds(request: RequestId): Boolean = sinks.containsKey(request)

    /**
     * Submits [request] and passes the effects that concern it to [sink], which must not block. Returns false and does
     * nothing if a request with the same id is queued or running.
     */
    fun submit(request: RouteRequest, sink: (Effect) -> Unit): Boolean {
        if (sinks.putIfAbsent(request.request, sink) != null) return false
        submitted.trySend(Unit)
        listener.submitted(request)
        decide { policy.submit(request, it) }
        return true
    }

    /** Reports a change of the fleet to the policy. */
    fun observe(event: FleetEvent) {
        decide { policy.observe(event, it) }
    }

    /** Reports the progress of a request to the policy. */
    fun progress(event: RequestEvent) {
        listener.progressed(event)
        if (event is RequestEvent.Answered || event is RequestEvent.Cancelled) sinks.remove(event.request)
        decide { policy.progress(event, it) }
    }

    private fun updateServers(servers: Map<ServerId, KnownServer>) {
        val nowMs = clock.monotonicMs()
        servers.values.filter { isOwner(it.facts) }.forEach { server ->
            val previous = known.put(server.facts.server, OwnedServer(server, nowMs))
            if (previous?.server != server) {
                decide { policy.observe(FleetEvent.ServerSeen(server.facts, server.load), it) }
            }
        }
        known.filter { (id, owned) -> id !in servers || nowMs - owned.ownedMs > OWNER_GRACE_MS }.keys.forEach { lost ->
            known.remove(lost)
            decide { policy.observe(FleetEvent.ServerGone(lost), it) }
        }
    }

    private fun updateRecords(configuration: Configuration) {
        val records = configuration.recognisedRecords()
        if (configuration.revision == 0L) return
        decide { policy.observe(FleetEvent.ModelsChanged(records.filterIsInstance<ModelRecord>()), it) }
        decide { policy.observe(FleetEvent.RanksChanged(records.filterIsInstance<RankRecord>()), it) }
    }

    private fun decide(action: (Long) -> List<Effect>) {
        synchronized(lock) { action(clock.monotonicMs()).forEach(::deliver) }
    }

    private fun deliver(effect: Effect) {
        when (effect) {
            is Effect.Place -> {
                val passedOver = effect.passedOver.joinToString { "${it.server}: ${it.reason}" }
                log.info(
                    "Placed {} attempt {} on {} (prefill) and {} (decode): {}. Passed over: [{}].",
                    effect.request,
                    effect.attempt,
                    effect.pair.prefill,
                    effect.pair.decode,
                    effect.why,
                    passedOver,
                )
                journal.record(
                    effect.request,
                    "Placed on ${effect.pair.prefill} and ${effect.pair.decode}: ${effect.why}.",
                )
                sinks[effect.request]?.invoke(effect)
            }
            is Effect.Refuse -> {
                log.info("Refused {}: {}", effect.request, effect.refusal.detail)
                journal.record(effect.request, "Refused: ${effect.refusal.detail}")
                listener.refused(effect.request)
                sinks.remove(effect.request)?.invoke(effect)
            }
            is Effect.Preempt -> {
                log.info("Preempted {}: {}.", effect.request, effect.why)
                journal.record(effect.request, "Preempted: ${effect.why}.")
                sinks[effect.request]?.invoke(effect)
            }
        }
    }

    private companion object {
        /** Time for which the policy keeps a server after another VM has become its owner. */
        const val OWNER_GRACE_MS = 5_000L
        const val TICK_INTERVAL_MS = 10L
    }
}
