package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.FencingNumber
import gentiandale.core.ServerId
import gentiandale.core.log.EventLog

/** Right to give orders: the leader of the control VMs has it, with its term as the fencing number. */
public data class OrderRight(val fencing: FencingNumber)

/** Sends orders to engines. */
public fun interface OrderSender {
    /** Sends [change] under [right]; [done] gets what the engine answered, or null. */
    public fun send(change: StageChange, right: OrderRight, done: (Int?) -> Unit)
}

/**
 * Gives orders to engines while this VM leads. A new leader waits until orders of the one before can't arrive any more,
 * and each order is given only while the lead is confirmed.
 *
 * @param leaseMs time in milliseconds that a new leader waits.
 * @param onAccepted called with an engine that takes nothing for a time in milliseconds from now on.
 * @param right returns the right to give orders if this VM has it at this moment, confirmed by a majority.
 */
public class StageOrders(
    private val clock: Clock,
    private val log: EventLog,
    private val leaseMs: Long,
    private val right: () -> OrderRight?,
    private val sender: OrderSender,
    private val onAccepted: (ServerId, Long) -> Unit,
) {
    private companion object {
        const val ACCEPTED = 202

        /** Time until the change is told by a heartbeat, in milliseconds. */
        const val TELL_MS = 1_500L
    }

    private var held: OrderRight? = null
    private var heldSinceMs = 0L
    private var balance: StageBalance? = null

    /** Looks at [engines], whose switch takes [switchMs] milliseconds, and gives the order that is due. */
    public fun tick(engines: List<EngineUse>, switchMs: Long) {
        val now = clock.monotonicMs()
        val present = right()
        if (present != held) {
            held = present
            heldSinceMs = now
            balance = null
        }
        if (present == null || engines.isEmpty()) return
        if (now - heldSinceMs < leaseMs) return
        val judge = balance ?: StageBalance(switchMs).also { balance = it }
        val change = judge.decide(engines, now) ?: return
        sender.send(change, present) { status ->
            log.write(FleetEvent.StageOrdered(change, present.fencing, status))
            when {
                status == ACCEPTED -> onAccepted(change.server.id, switchMs + TELL_MS)
                status != null -> judge.onRefused(change.server.id)
            }
        }
    }
}
