package gentiandale.cluster.order

import gentiandale.cluster.cell.VmScopes
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.Clock
import gentiandale.core.DataCentreId
import gentiandale.core.KnownVm
import gentiandale.core.PoolRecord
import gentiandale.core.Record
import gentiandale.core.ServerFacts
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.engine.EngineOrder
import gentiandale.core.recognisedRecords
import gentiandale.state.ReplicatedStore
import gentiandale.state.StoreCommand
import gentiandale.state.StoreReply
import gentiandale.state.SubmitOutcome
import org.slf4j.LoggerFactory

/** State that a round of the [PlacementController] decides on. */
public data class PlacementView(val records: List<Record>, val servers: List<ServerFacts>, val vms: Collection<KnownVm>)

/** Sends orders to engines. */
public fun interface OrderSender {
    /** Sends [order] to [server] and returns whether the engine accepted it within [timeoutMs] milliseconds. */
    public suspend fun send(server: ServerFacts, order: EngineOrder, timeoutMs: Long): Boolean
}

/**
 * Reconciles the engines of [dataCentre] with the records of its pools. It acts only on the VM that rendezvous hashing
 * selects, only while there are orders to send, and only under the lease `placement/<data centre>` of the store, so
 * that a VM that can't reach a majority sends no order.
 */
public class PlacementController(
    private val self: VmId,
    private val dataCentre: DataCentreId,
    private val store: ReplicatedStore,
    private val sender: OrderSender,
    private val clock: Clock,
    private val times: OrderTimes = OrderTimes(),
    limits: WeightLoadLimits = WeightLoadLimits(),
) : Controller<PlacementView> {
    private val log = LoggerFactory.getLogger("gentiandale.order")
    private val leaseName = "placement/$dataCentre"
    private val loadLimiter = WeightLoadLimiter(limits)
    private var lease: HeldLease? = null

    override fun observe(board: Blackboard): PlacementView {
        val records = board[Board.CONFIGURATION].configuration.recognisedRecords()
        val local = records.filter { it !is PoolRecord || it.dataCentre == dataCentre }
        val servers = board[Board.SERVERS].values.map { it.facts }
        val engines = servers.filter { it.dataCentre == dataCentre && it.kind != ServerKind.PLAIN }
        return PlacementView(local, engines, board[Board.VMS].values)
    }

    override suspend fun round(view: PlacementView) {
        if (VmScopes(view.vms).owner(leaseName, null, dataCentre) != self) return
        val planned = planPlacement(view.records, view.servers)
        val admitted = loadLimiter.admit(planned, clock.monotonicMs())
        if (admitted.isEmpty() && !loadLimiter.hasRunningOrders) return
        if (!ensureLease()) return
        val servers = view.servers.associateBy { it.server }
        admitted.forEach { sendOrder(it, servers.getValue(it.server)) }
    }

    private suspend fun ensureLease(): Boolean {
        val held = lease
        val requestedMs = clock.monotonicMs()
        if (held != null && requestedMs - held.requestedMs < times.renewMs) return true
        val command = StoreCommand.AcquireLease(leaseName, self, times.leaseTtlMs, clock.wallMs())
        val outcome = store.submit(command, SUBMIT_TIMEOUT_MS)
        val reply = (outcome as? SubmitOutcome.Done)?.reply as? StoreReply.LeaseHeld
        if (reply == null) {
            log.info("Placement in {} could not acquire or renew lease {}: {}.", dataCentre, leaseName, outcome)
            return held != null
        }
        val now = clock.monotonicMs()
        lease = held?.renewed(reply.fencing, requestedMs, now) ?: HeldLease(reply.fencing, requestedMs, now)
        return true
    }

    private suspend fun sendOrder(planned: PlannedOrder, server: ServerFacts) {
        val held = lease ?: return
        val permit = held.permit(clock.monotonicMs(), server.checksFencing, times)
        if (permit is OrderPermit.Denied) {
            log.info("Order to {} not sent: {}.", planned.server, permit.reason)
            return
        }
        val granted = permit as OrderPermit.Granted
        val order = EngineOrder(
            fencing = granted.fencing,
            model = planned.model,
            version = planned.version,
            adapters = planned.adapters,
            role = planned.kind.name.lowercase(),
            expiresAtMs = clock.wallMs() + granted.expiresInMs,
        )
        loadLimiter.recordSent(planned, clock.monotonicMs())
        val accepted = sender.send(server, order, times.maxOrderDelayMs)
        val result = if (accepted) "accepted" else "not accepted"
        log.info(
            "Ordered {} to become {} of {} {} with fencing {}: {}. Reason: {}.",
            planned.server,
            order.role,
            order.model,
            order.version,
            order.fencing,
            result,
            planned.reason,
        )
    }

    private companion object {
        const val SUBMIT_TIMEOUT_MS = 2_000L
    }
}
