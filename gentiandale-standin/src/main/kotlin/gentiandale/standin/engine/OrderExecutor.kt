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

/** Response to an order: whether it was carried out ([taken]), and the [highest] fencing token so far. */
@Serializable
internal data class OrderReply(val taken: Boolean, val highest: FencingNumber)

/** Carries out orders one at a time and holds the [facts] that they change. */
internal class OrderExecutor(initialFacts: ServerFacts, private val loadMs: Long, private val faults: FaultInjector) {
    private val mutex = Mutex()
    private val received = mutableListOf<OrderRecord>()
    private var highest = FencingNumber(0)

    /** Current facts, with all completed orders applied. */
    @Volatile
    var facts: ServerFacts = initialFacts
        private set

    /** All received orders, oldest first. */
    val records: List<OrderRecord> get() = synchronized(received) { received.toList() }

    /** Carries out [order], or rejects it if this engine checks fencing tokens and that of [order] is outdated. */
    suspend fun execute(order: EngineOrder): OrderReply = mutex.withLock {
        val taken = !isOutdated(order)
        val record = OrderRecord(order.fencing, order.model, order.version, order.role, taken)
        synchronized(received) { received += record }
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
