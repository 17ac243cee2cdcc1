package gentiandale.cluster.virtual

import gentiandale.cluster.ClusterCodec
import gentiandale.cluster.ClusterCore
import gentiandale.cluster.ClusterDatagram
import gentiandale.cluster.ClusterTimes
import gentiandale.cluster.OutgoingDatagram
import gentiandale.core.VmId
import java.util.PriorityQueue
import kotlin.random.Random

/** Traffic and CPU time of one VM of a [VirtualNetwork]. */
public data class NodeCost(
    val messagesSent: Long = 0,
    val bytesSent: Long = 0,
    val bytesReceived: Long = 0,
    val coreNanos: Long = 0,
)

/**
 * Simulates [ClusterCore]s in virtual time over a network with latency, loss and partitions. Equal seeds give equal
 * runs.
 *
 * @param latencyMs range of the one-way latency.
 * @param loss share of datagrams that are lost, from 0 to 1.
 * @param encode whether datagrams are encoded and decoded as on a real network, which also counts their bytes.
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
        val sequence: Long,
        val to: VmId,
        val datagram: ByteArray?,
        val unencoded: ClusterDatagram?,
    )

    private class Node(val core: ClusterCore) {
        var running = true
        var paused = false
        var cost = NodeCost()
        val delayed = ArrayDeque<Event>()
    }

    private val random = Random(seed)
    private val nodes = LinkedHashMap<VmId, Node>()
    private val cuts = HashSet<Pair<VmId, VmId>>()
    private val queue = PriorityQueue(compareBy<Event>({ it.atMs }, { it.sequence }))
    private var sequence = 0L

    /** Current virtual time in milliseconds. */
    public var now: Long = START_MS
        private set

    /** VMs that are running and not paused. */
    public val running: List<VmId> get() = nodes.filterValues { it.running && !it.paused }.keys.toList()

    /** Starts [core]; it replaces the core of the same VM, if there is one. */
    public fun add(core: ClusterCore) {
        nodes[core.self.vm] = Node(core)
        schedule(Event(now + random.nextLong(times.tickMs), ++sequence, core.self.vm, null, null))
    }

    /** Returns the core of [vm]. */
    public fun core(vm: VmId): ClusterCore = nodes.getValue(vm).core

    /** Returns the cost of [vm] since it was added, or since the last [resetCosts]. */
    public fun cost(vm: VmId): NodeCost = nodes.getValue(vm).cost

    /** Resets all costs to zero. */
    public fun resetCosts() {
        nodes.values.forEach { it.cost = NodeCost() }
    }

    /** Runs [block] on the core of [vm] and sends the datagrams that it returns. */
    public fun runOn(vm: VmId, block: ClusterCore.(Long) -> List<OutgoingDatagram>) {
        val node = nodes.getValue(vm)
        val started = System.nanoTime()
        val effects = node.core.block(now)
        transmit(vm, node, effects, started)
    }

    /** Drops all datagrams from [from] to [to] until [heal]. */
    public fun cut(from: VmId, to: VmId) {
        cuts += from to to
    }

    /** Drops all datagrams between [one] and [other] until [heal]. */
    public fun cutBothWays(one: VmId, other: VmId) {
        cut(one, other)
        cut(other, one)
    }

    /** Ends all cuts. */
    public fun heal() {
        cuts.clear()
    }

    /** Kills [vm] without notice to the other VMs. */
    public fun kill(vm: VmId) {
        nodes.getValue(vm).running = false
    }

    /** Pauses [vm]. Datagrams to it are queued, up to a limit, until [resume]. */
    public fun pause(vm: VmId) {
        nodes.getValue(vm).paused = true
    }

    /** Resumes [vm]. Its tick runs before the queued datagrams are handled, which is the harder order for the core. */
    public fun resume(vm: VmId) {
        val node = nodes.getValue(vm)
        node.paused = false
        node.delayed.sortedByDescending { it.isTick() }.forEach { handle(it) }
        node.delayed.clear()
    }

    /** Advances virtual time by [ms] milliseconds. */
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

    /** Advances time until [condition] holds; returns the elapsed milliseconds, or null after [limitMs]. */
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
        if (node.paused) {
            delayUntilResume(node, event)
            return
        }
        if (event.isTick()) {
            runOn(event.to) { tick(it) }
            schedule(Event(now + times.tickMs, ++sequence, event.to, null, null))
            return
        }
        val started = System.nanoTime()
        val datagram = event.unencoded ?: ClusterCodec.decode(requireNotNull(event.datagram)) ?: return
        node.cost = node.cost.copy(bytesReceived = node.cost.bytesReceived + sizeOf(event))
        transmit(event.to, node, node.core.receive(now, datagram), started)
    }

    private fun delayUntilResume(node: Node, event: Event) {
        val fits = if (event.isTick()) node.delayed.none { it.isTick() } else node.delayed.size < MAX_DELAYED
        if (fits) node.delayed += event
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
        return Event(at, ++sequence, to, bytes, outgoing.datagram.takeUnless { encode })
    }

    private fun schedule(event: Event) {
        queue += event
    }

    private fun Event.isTick() = datagram == null && unencoded == null

    private fun sizeOf(event: Event): Long = event.datagram?.let { it.size + UDP_IP_HEADER_BYTES } ?: 0

    private companion object {
        val DEFAULT_LATENCY_MS = 1L..3L
        const val START_MS = 1_000_000L
        const val UDP_IP_HEADER_BYTES = 28L
        const val MAX_DELAYED = 256
    }
}
