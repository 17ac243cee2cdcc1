package gentiandale.cluster.virtual

import gentiandale.cluster.ClusterCodec
import gentiandale.cluster.ClusterCore
import gentiandale.cluster.ClusterDatagram
import gentiandale.cluster.ClusterTimes
import gentiandale.cluster.OutgoingDatagram
import gentiandale.core.VmId
import java.util.PriorityQueue
import kotlin.random.Random

/** What one VM of a [VirtualNetwork] has cost so far. */
public data class NodeCost(
    val messagesSent: Long = 0,
    val bytesSent: Long = 0,
    val bytesReceived: Long = 0,
    val coreNanos: Long = 0,
)

/**
 * Runs [ClusterCore]s in virtual time over a network that delays, loses, and cuts. The same seed gives the same run.
 *
 * @param latencyMs range of the one-way delay in milliseconds.
 * @param loss share of the datagrams that are lost.
 * @param encode whether datagrams are encoded and decoded as on a real network, and their bytes counted.
 */
public class VirtualNetwork(
    seed: Long,
    private val latencyMs: LongRange = DEFAULT_LATENCY_MS,
    private val loss: Double = 0.0,
    private val encode: Boolean = false,
    private val times: ClusterTimes = ClusterTimes(),
) {
    private class Event(
        val atMs: Long,
        val order: Long,
        val to: VmId,
        val datagram: ByteArray?,
        val plain: ClusterDatagram?,
    )

    private class Node(val core: ClusterCore) {
        var running = true
        var frozen = false
        var cost = NodeCost()
        val held = ArrayDeque<Event>()
    }

    private val random = Random(seed)
    private val nodes = LinkedHashMap<VmId, Node>()
    private val cuts = HashSet<Pair<VmId, VmId>>()
    private val queue = PriorityQueue(compareBy<Event>({ it.atMs }, { it.order }))
    private var order = 0L

    /** Present virtual time in milliseconds. */
    public var now: Long = START_MS
        private set

    /** VMs that run and are not frozen. */
    public val running: List<VmId> get() = nodes.filterValues { it.running && !it.frozen }.keys.toList()

    /** Adds [core], or replaces the one of the same VM, and starts it. */
    public fun add(core: ClusterCore) {
        nodes[core.self.vm] = Node(core)
        schedule(Event(now + random.nextLong(times.tickMs), ++order, core.self.vm, null, null))
    }

    /** Returns the core of [vm]. */
    public fun core(vm: VmId): ClusterCore = nodes.getValue(vm).core

    /** Returns the cost of [vm] since its start or the last [resetCosts]. */
    public fun cost(vm: VmId): NodeCost = nodes.getValue(vm).cost

    /** Sets all costs to zero. */
    public fun resetCosts() {
        nodes.values.forEach { it.cost = NodeCost() }
    }

    /** Runs [step] on the core of [vm] and sends what it returns. */
    public fun on(vm: VmId, step: ClusterCore.(Long) -> List<OutgoingDatagram>) {
        val node = nodes.getValue(vm)
        val started = System.nanoTime()
        val effects = node.core.step(now)
        transmit(vm, node, effects, started)
    }

    /** Loses everything from [from] to [to] until [heal]. */
    public fun cut(from: VmId, to: VmId) {
        cuts += from to to
    }

    /** Loses everything between [one] and [other] until [heal]. */
    public fun cutBothWays(one: VmId, other: VmId) {
        cut(one, other)
        cut(other, one)
    }

    /** Mends all cuts. */
    public fun heal() {
        cuts.clear()
    }

    /** Ends [vm] at once. */
    public fun kill(vm: VmId) {
        nodes.getValue(vm).running = false
    }

    /** Stops [vm] from running; what is sent to it waits. */
    public fun freeze(vm: VmId) {
        nodes.getValue(vm).frozen = true
    }

    /** Lets [vm] run on. Its timer fires before it reads what waits, which is the harder order. */
    public fun thaw(vm: VmId) {
        val node = nodes.getValue(vm)
        node.frozen = false
        node.held.sortedByDescending { it.isTick() }.forEach { handle(it) }
        node.held.clear()
    }

    /** Lets [ms] milliseconds pass. */
    public fun run(ms: Long) {
        val end = now + ms
        while (true) {
            val next = queue.peek() ?: break
            if (next.atMs > end) break
            queue.poll()
            now = maxOf(now, next.atMs)
            handle(next)
        }
        now = end
    }

    /** Lets time pass until [condition] holds, and returns how long it took, or null after [limitMs]. */
    public fun runUntil(limitMs: Long, stepMs: Long = 10, condition: () -> Boolean): Long? {
        val start = now
        while (!condition()) {
            if (now - start >= limitMs) return null
            run(stepMs)
        }
        return now - start
    }

    private fun handle(event: Event) {
        val node = nodes.getValue(event.to)
        if (!node.running) return
        if (node.frozen) {
            hold(node, event)
            return
        }
        if (event.isTick()) {
            on(event.to) { tick(it) }
            schedule(Event(now + times.tickMs, ++order, event.to, null, null))
            return
        }
        val started = System.nanoTime()
        val datagram = event.plain ?: ClusterCodec.decode(requireNotNull(event.datagram)) ?: return
        node.cost = node.cost.copy(bytesReceived = node.cost.bytesReceived + sizeOf(event))
        transmit(event.to, node, node.core.receive(now, datagram), started)
    }

    private fun hold(node: Node, event: Event) {
        val fits = if (event.isTick()) node.held.none { it.isTick() } else node.held.size < MAX_HELD
        if (fits) node.held += event
    }

    private fun transmit(from: VmId, node: Node, effects: List<OutgoingDatagram>, startedNanos: Long) {
        val events = effects.mapNotNull { event(from, it) }
        val bytes = events.sumOf { sizeOf(it) }
        node.cost = node.cost.copy(
            messagesSent = node.cost.messagesSent + events.size,
            bytesSent = node.cost.bytesSent + bytes,
            coreNanos = node.cost.coreNanos + System.nanoTime() - startedNanos,
        )
        events.filter { (from to it.to) !in cuts && random.nextDouble() >= loss }.forEach(::schedule)
    }

    private fun event(from: VmId, outgoing: OutgoingDatagram): Event? {
        val to = outgoing.to?.takeIf { it in nodes && it != from } ?: return null
        val at = now + random.nextLong(latencyMs.first, latencyMs.last + 1)
        val bytes = if (encode) ClusterCodec.encode(outgoing.datagram) else null
        return Event(at, ++order, to, bytes, outgoing.datagram.takeUnless { encode })
    }

    private fun schedule(event: Event) {
        queue += event
    }

    private fun Event.isTick() = datagram == null && plain == null

    private fun sizeOf(event: Event): Long = event.datagram?.let { it.size + UDP_IP_HEADER_BYTES } ?: 0

    private companion object {
        val DEFAULT_LATENCY_MS = 1L..3L
        const val START_MS = 1_000_000L
        const val UDP_IP_HEADER_BYTES = 28L
        const val MAX_HELD = 256
    }
}
