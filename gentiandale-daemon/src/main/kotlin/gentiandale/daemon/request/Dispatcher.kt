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

/** Feeds the [policy] one event at a time and hands its effects to the requests that they are about. */
internal class Dispatcher(
    private val board: Blackboard,
    private val policy: RoutingPolicy,
    private val clock: Clock,
    private val journal: RequestJournal,
    private val decidesOver: (ServerFacts) -> Boolean = { true },
    private val listener: RequestListener = object : RequestListener {},
) {
    private val log = LoggerFactory.getLogger("gentiandale.route")
    private val waiting = ConcurrentHashMap<RequestId, (Effect) -> Unit>()
    private val submitted = Channel<Unit>(Channel.CONFLATED)
    private val lock = Any()
    private val known = ConcurrentHashMap<ServerId, Seen>()

    /** A server that the policy knows, and the monotonic time at which this VM last decided over it. */
    private class Seen(val server: KnownServer, val ownedMs: Long)

    /** Keeps the policy informed of the servers on the blackboard, and lets its time pass. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            combine(board.watch(Board.SERVERS), board.watch(CELLS)) { servers, _ -> servers }.collect(::noteServers)
        }
        scope.launch {
            board.watch(Board.CONFIGURATION).map { it.configuration }.distinctUntilChangedBy { it.revision }
                .collect(::noteRecords)
        }
        scope.launch {
            while (isActive) {
                if (waiting.isEmpty()) submitted.receive()
                delay(TICK_MS)
                decide { policy.tick(it) }
            }
        }
    }

    /** Servers that the policy knows. */
    val servers: Set<ServerId> get() = known.keys

    /** Requests that the policy holds. */
    val active: Int get() = waiting.size

    /** Returns whether the policy holds [request]. */
    fun holds(request: RequestId): Boolean = waiting.containsKey(request)

    /**
     * Submits [request] and passes the effects that concern it to [sink], which must not block. It returns false
     * and does nothing if a request of that id is held already.
     */
    fun submit(request: RouteRequest, sink: (Effect) -> Unit): Boolean {
        if (waiting.putIfAbsent(request.request, sink) != null) return false
        submitted.trySend(Unit)
        listener.submitted(request)
        decide { policy.submit(request, it) }
        return true
    }

    /** Tells the policy of a change of the fleet. */
    fun observe(event: FleetEvent) {
        decide { policy.observe(event, it) }
    }

    /** Tells the policy of the progress of a request. */
    fun progress(event: RequestEvent) {
        listener.progressed(event)
        if (event is RequestEvent.Answered || event is RequestEvent.Cancelled) waiting.remove(event.request)
        decide { policy.progress(event, it) }
    }

    private fun noteServers(now: Map<ServerId, KnownServer>) {
        val nowMs = clock.monotonicMs()
        now.values.filter { decidesOver(it.facts) }.forEach { server ->
            val before = known.put(server.facts.server, Seen(server, nowMs))
            if (before?.server != server) {
                decide { policy.observe(FleetEvent.ServerSeen(server.facts, server.load), it) }
            }
        }
        known.filter { (id, seen) -> id !in now || nowMs - seen.ownedMs > OWNER_CHANGE_MS }.keys.forEach { gone ->
            known.remove(gone)
            decide { policy.observe(FleetEvent.ServerGone(gone), it) }
        }
    }

    private fun noteRecords(configuration: Configuration) {
        val records = configuration.recognisedRecords()
        if (configuration.revision == 0L) return
        decide { policy.observe(FleetEvent.ModelsChanged(records.filterIsInstance<ModelRecord>()), it) }
        decide { policy.observe(FleetEvent.RanksChanged(records.filterIsInstance<RankRecord>()), it) }
    }

    private fun decide(step: (Long) -> List<Effect>) {
        synchronized(lock) { step(clock.monotonicMs()).forEach(::deliver) }
    }

    private fun deliver(effect: Effect) {
        when (effect) {
            is Effect.Place -> {
                val passed = effect.passedOver.joinToString { "${it.server}: ${it.reason}" }
                log.info(
                    "Placed {} attempt {} on {} and {}. Why: {}. Passed over: [{}].",
                    effect.request,
                    effect.attempt,
                    effect.pair.prefill,
                    effect.pair.decode,
                    effect.why,
                    passed,
                )
                journal.note(
                    effect.request,
                    "Placed on ${effect.pair.prefill} and ${effect.pair.decode}: ${effect.why}.",
                )
                waiting[effect.request]?.invoke(effect)
            }
            is Effect.Refuse -> {
                log.info("Refused {}. Why: {}.", effect.request, effect.refusal.detail)
                journal.note(effect.request, "Refused: ${effect.refusal.detail}")
                listener.refused(effect.request)
                waiting.remove(effect.request)?.invoke(effect)
            }
            is Effect.Preempt -> {
                log.info("Preempted {}. Why: {}.", effect.request, effect.why)
                journal.note(effect.request, "Preempted: ${effect.why}.")
                waiting[effect.request]?.invoke(effect)
            }
        }
    }

    private companion object {
        /** Time for which a server stays with the policy after another VM has become its owner. */
        const val OWNER_CHANGE_MS = 5_000L
        const val TICK_MS = 10L
    }
}
