package gentiandale.fleet

import gentiandale.core.DataCentreId
import gentiandale.core.VmId
import gentiandale.core.backend.ForwardPeer
import gentiandale.core.backend.ServiceName

/**
 * Lists of peers that control VMs have sent or confirmed to an entry VM of [dataCentre]. A control VM that has just
 * started, or does not reach the other entry VMs, knows few of them, so the best list of the last [VALIDITY_MS] is
 * used.
 */
internal class ForwardPeerLists(private val dataCentre: DataCentreId) {
    private class Received(val peers: List<ForwardPeer>, val atMs: Long)

    private val lists = HashMap<ServiceName, HashMap<VmId, Received>>()
    private val inUse = HashMap<ServiceName, List<ForwardPeer>>()

    /** Digest of the lists in use; 0 if there are none. */
    val digest: Long get() = digest(inUse)

    /** Records the list [peers] for [service] from the control VM [from], and returns the list to use. */
    fun onReceived(from: VmId, service: ServiceName, peers: List<ForwardPeer>, nowMs: Long): List<ForwardPeer> {
        val received = lists.getOrPut(service) { HashMap() }
        received[from] = Received(peers, nowMs)
        received.values.removeIf { nowMs - it.atMs > VALIDITY_MS }
        val order = compareBy<Received>({ list -> list.peers.count { it.dataCentre == dataCentre } }, { it.peers.size })
        return received.values.maxWith(order.thenBy { it.atMs }).peers.also { inUse[service] = it }
    }

    /** Records that the lists of the control VM [from] have the digest [confirmed]. */
    fun onConfirmed(from: VmId, confirmed: Long, nowMs: Long) {
        if (confirmed != digest) return
        inUse.forEach { (service, peers) -> lists.getValue(service)[from] = Received(peers, nowMs) }
    }

    /** Forgets the lists for other services than [services]. */
    fun retain(services: Collection<ServiceName>) {
        lists.keys.retainAll(services.toSet())
        inUse.keys.retainAll(services.toSet())
    }

    companion object {
        /** Time in milliseconds; a control VM that can be reached sends or confirms a list in each third of it. */
        const val VALIDITY_MS = 3 * ControlHub.TICK_MS

        /** Returns the digest of [lists], which is equal in all processes; 0 if there are none. */
        fun digest(lists: Map<ServiceName, List<ForwardPeer>>): Long = lists.hashCode().toLong()
    }
}
