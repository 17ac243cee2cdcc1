package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.FencingNumber
import gentiandale.core.ServerId
import gentiandale.core.log.EventLog

/** Permission of the leading control VM to give orders, with its term as the fencing token. */
public data class OrderLease(val fencing: FencingNumber)

/** Sends orders to engines. */
public fun interface OrderSender {
    /** Sends [change] under [lease]; [done] receives the HTTP status of the answer, or null without an answer. */
    public fun send(change: StageChange, lease: OrderLease, done: (Int?) -> Unit)
}

/**
 * Orders engines to change their stage while this VM is the leader. A new leader first waits until orders of its
 * predecessor can't arrive any more. Each order is sent only while a majority confirms the leadership.
 *
 * @param leaseMs time in milliseconds that a new leader waits before its first order.
 * @param onAccepted called with an engine that accepted an order, and the time in milliseconds that it gets no work.
 * @param currentLease returns the lease if this VM is the leader, confirmed by a majority, or null.
 */
public class StageOrderIssuer(
    private val clock: Clock,
    private val log: EventLog,
    private val leaseMs: Long,
    private val currentLease: () -> OrderLease?,
    private val sender: OrderSender,
    private val onAccepted: (ServerId, Long) -> Unit,
) {
    private companion object {
        const val ACCEPTED = 202

        /** Time in milliseconds until a heartbeat reports the new stage. */
        const val HEARTBEAT_DELAY_MS = 1_500L
    }

    private var lease: OrderLease? = null
    private var leaseSinceMs = 0L
    private var balancer: StageBalancer? = null

    /** Sends the stage order that [engines] need, if any. A change of stage takes [switchMs] milliseconds. */
    public fun tick(engines: List<EngineLoad>, switchMs: Long) {
        val now = clock.monotonicMs()
        val present = currentLease()
        if (present != lease) {
            lease = present
            leaseSinceMs = now
            balancer = null
        }
        if (present == null || engines.isEmpty()) return
        if (now - leaseSinceMs < leaseMs) return
        val current = balancer ?: StageBalancer(switchMs).also { balancer = it }
        val change = current.decide(engines, now) ?: return
        sender.send(change, present) { status ->
            log.write(FleetLogEvent.StageOrdered(change, present.fencing, status))
            when {
                status == ACCEPTED -> onAccepted(change.server.id, switchMs + HEARTBEAT_DELAY_MS)
                status != null -> current.onRefused(change.server.id)
            }
        }
    }
}
