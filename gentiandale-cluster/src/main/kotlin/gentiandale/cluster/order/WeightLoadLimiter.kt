package gentiandale.cluster.order

import gentiandale.core.ServerId

/**
 * Limits for loading weights from the weight store.
 *
 * @param bytesPerSecond bandwidth that all loads of one data centre share.
 * @param concurrentLoads maximum number of loads at a time.
 */
public data class WeightLoadLimits(val bytesPerSecond: Long = 1_000_000_000, val concurrentLoads: Int = 2)

/** Limits the weight loads that are ordered to [limits]. An order is running until it is done or has timed out. */
public class WeightLoadLimiter(private val limits: WeightLoadLimits) {
    private class Running(val order: PlannedOrder, val deadlineMs: Long)

    private val running = LinkedHashMap<ServerId, Running>()
    private var weightStoreFreeMs = 0L

    /** Whether any order is running. */
    public val hasRunningOrders: Boolean get() = running.isNotEmpty()

    /** Returns the [planned] orders that may be sent at [now]. A running order that is no longer planned is done. */
    public fun admit(planned: List<PlannedOrder>, now: Long): List<PlannedOrder> {
        val plannedByServer = planned.associateBy { it.server }
        running.values.removeIf { plannedByServer[it.order.server] != it.order || it.deadlineMs <= now }
        val startable = planned.filter { it.server !in running }
        val (withoutLoad, withLoad) = startable.partition { it.loadBytes == 0L }
        val freeLoads = limits.concurrentLoads - running.values.count { it.order.loadBytes > 0 }
        return withoutLoad +
            withLoad.take(maxOf(0, freeLoads)).filter { weightStoreFreeMs <= now + loadMs(it) * freeLoads }
    }

    /** Records that [order] was sent at [now]. */
    public fun recordSent(order: PlannedOrder, now: Long) {
        val durationMs = loadMs(order)
        weightStoreFreeMs = maxOf(now, weightStoreFreeMs) + durationMs
        running[order.server] = Running(order, maxOf(now, weightStoreFreeMs) + durationMs + ORDER_TIMEOUT_MS)
    }

    private fun loadMs(order: PlannedOrder): Long = order.loadBytes * MS_PER_SECOND / limits.bytesPerSecond

    private companion object {
        const val MS_PER_SECOND = 1_000L
        const val ORDER_TIMEOUT_MS = 10_000L
    }
}
