package gentiandale.relay.request

import gentiandale.core.ServerKind
import gentiandale.core.backend.ServiceName
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.BackendRegistry
import gentiandale.relay.routing.RoutingTable
import kotlin.random.Random

/**
 * What this VM knows about the services whose capacity a control VM assigns, and its requests that wait for that.
 *
 * @param isEnabled whether control VMs hold queues; if not, this VM places all requests by itself.
 */
internal class SharedCapacity(
    private val registry: BackendRegistry,
    private val nowMs: () -> Long,
    random: Random,
    private val isEnabled: Boolean = true,
) {
    /** Starts at random, so that a control VM does not take a request for one of an earlier process of this VM. */
    private var lastNumber = random.nextInt(Int.MAX_VALUE).toLong()
    private var contended = emptySet<ServiceName>()
    private var knownMs: Long? = null
    private val waits = LinkedHashSet<CapacityWait>()

    /** Time in milliseconds since a control VM last sent loads or contended services, or null before the first. */
    val ageMs: Long? get() = knownMs?.let { nowMs() - it }

    /** Returns a number that no other request of this VM has. */
    fun nextNumber(): Long = ++lastNumber

    /** Records that a control VM has sent loads. */
    fun onLoads() {
        knownMs = nowMs()
    }

    /** Replaces the contended services. */
    fun updateContention(services: Set<ServiceName>) {
        contended = services
        knownMs = nowMs()
    }

    /** Returns whether a control VM has said that capacity of [service] is scarce. */
    fun isContended(service: ServiceName): Boolean = isEnabled && service in contended

    /** Returns whether a control VM holds a queue for [service]. */
    fun hasQueue(service: ServiceName): Boolean =
        isEnabled && (service in contended || service in registry.sharedServices)

    /** Returns whether a control VM holds a queue for generations at [service], if it [hasCustomers]. */
    fun hasGenerationQueue(service: ServiceName, hasCustomers: Boolean): Boolean =
        hasQueue(service) || isEnabled && hasCustomers

    /** Returns whether the calls in progress at [server] are reported to the control VMs. */
    fun isReported(server: Backend): Boolean =
        server.row.kind != ServerKind.PLAIN || (!server.isPeer && hasQueue(server.row.service))

    fun add(wait: CapacityWait) {
        waits += wait
    }

    fun remove(wait: CapacityWait): Boolean = waits.remove(wait)

    /** Ends the waits of requests whose service [table] has replaced by another one. */
    fun onConfiguration(table: RoutingTable) = waits.toList().forEach { if (it in waits) it.onConfiguration(table) }
}
