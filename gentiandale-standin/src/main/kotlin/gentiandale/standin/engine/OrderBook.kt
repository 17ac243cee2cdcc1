package gentiandale.standin.engine

import gentiandale.core.FencingNumber
import gentiandale.core.ServerFacts
import gentiandale.core.ServerKind
import gentiandale.core.engine.EngineOrder
import gentiandale.standin.fault.Fault
import gentiandale.standin.fault.FaultInjector
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.Serializable

/** Answer to an order: whether it was [taken], and the [highest] fencing number seen. */
@Serializable
internal data class OrderReply(val taken: Boolean, val highest: FencingNumber)

/** Takes orders one at a time and keeps the facts that they change. */
internal class OrderBook(first: ServerFacts, private val loadMs: Long, private val faults: FaultInjector) {
    private val one = Mutex()
    private val seen = mutableListOf<OrderSeen>()
    private var highest = FencingNumber(0)

    /** Facts as the orders have left them. */
    @Volatile
    var facts: ServerFacts = first
        private set

    /** Orders met, in order. */
    val orders: List<OrderSeen> get() = synchronized(seen) { seen.toList() }

    /** Carries [order] out, unless its fencing number is old and this engine checks them. */
    suspend fun take(order: EngineOrder): OrderReply = one.withLock {
        val taken = !isOutdated(order)
        val entry = OrderSeen(order.fencing, order.model, order.version, order.role, taken)
        synchronized(seen) { seen += entry }
        if (taken) {
            highest = maxOf(highest, order.fencing)
            delay(loadMs)
            facts = facts.after(order)
        }
        OrderReply(taken, highest)
    }

    private fun isOutdated(order: EngineOrder): Boolean {
        if (!facts.checksFencing || order.fencing >= highest) return false
        return !faults.shouldInject(Fault.IGNORED_FENCING, order.toString())
    }

    private fun ServerFacts.after(order: EngineOrder) = copy(
        model = order.model,
        version = order.version,
        adapters = order.adapters,
        kind = when (order.role) {
            "prefill" -> ServerKind.PREFILL
            "decode" -> ServerKind.DECODE
            else -> kind
        },
    )
}
