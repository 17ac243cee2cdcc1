package gentiandale.relay.forward

import gentiandale.core.Address
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ForwardPeer
import gentiandale.core.backend.ServiceName
import gentiandale.relay.backend.Backend
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * The entry VMs to which this VM forwards the requests for services that it doesn't reach. Confined to the event loop.
 *
 * @param port port at which entry VMs listen for forwarded requests, or null if they forward none.
 */
internal class Forwarding(
    private val port: Int?,
    private val loop: EventLoop,
    private val nowMs: () -> Long,
    private val monitor: ServerMonitor,
) {
    private val backends = HashMap<VmId, Backend>()
    private val named = HashMap<ServiceName, List<Backend>>()
    private val lostMs = HashMap<ServiceName, Long>()

    /** Monotonic times in milliseconds at which peers have said that they don't reach a service either. */
    private val unreachedMs = HashMap<ServiceName, HashMap<ServerId, Long>>()
    private val waiting = HashMap<ServiceName, ArrayList<() -> Unit>>()

    /** Called after a service was lost or is reached again, or when no peer that was named for it reaches it. */
    var onChange: () -> Unit = {}

    init {
        monitor.onChange = ::onReachChanged
    }

    /** Services that this VM doesn't reach. */
    val lost: List<ServiceName> get() = monitor.lost

    private fun onReachChanged(service: ServiceName) {
        named -= service
        unreachedMs -= service
        if (monitor.isReached(service)) lostMs -= service else lostMs[service] = nowMs()
        onChange()
    }

    /** Returns where a request for [service] goes on; [isForwarded] if another entry VM has forwarded it. */
    fun path(service: ServiceName, isForwarded: Boolean): ForwardPath {
        val isReached = port == null || monitor.isReached(service)
        val now = nowMs()
        val askedMs = lostMs[service]?.let { now - it } ?: Long.MAX_VALUE
        val unreached = unreachedMs[service].orEmpty().mapValues { (_, atMs) -> now - atMs }
        return ForwardPolicy.next(isReached, isForwarded, named[service], askedMs, unreached)
    }

    /**
     * Records that [peer] doesn't reach [service] either; it was named before it had reported that. Once this holds for
     * all, others are asked for.
     */
    fun onUnreached(service: ServiceName, peer: Backend) {
        if (monitor.isReached(service)) return
        unreachedMs.getOrPut(service) { HashMap() }[peer.row.id] = nowMs()
        if (path(service, isForwarded = false) is ForwardPath.AwaitPeers) onChange()
    }

    /** Calls [action] when the peers for [service] have been named, or after [ForwardPolicy.MAX_WAIT_MS]. */
    fun awaitPeers(service: ServiceName, action: () -> Unit) {
        val actions = waiting.getOrPut(service) { ArrayList() }
        actions += action
        if (actions.size > 1) return
        loop.schedule({ proceed(service) }, ForwardPolicy.MAX_WAIT_MS, TimeUnit.MILLISECONDS)
    }

    private fun proceed(service: ServiceName) {
        waiting.remove(service)?.forEach { it() }
    }

    /** Sets the entry VMs that reach [service], as a control VM has named them. */
    fun update(service: ServiceName, peers: List<ForwardPeer>) {
        named[service] = peers.map(::backendOf)
        proceed(service)
    }

    private fun backendOf(peer: ForwardPeer) = backends.getOrPut(peer.vm) {
        val row = BackendRow(
            id = ServerId("vm ${peer.vm.value}"),
            incarnation = Incarnation(0),
            sequence = 0,
            service = ServiceName("entry VMs"),
            address = Address(peer.vm.value, port ?: 0),
            dataCentre = peer.dataCentre,
            state = BackendState.READY,
            kind = ServerKind.PLAIN,
            places = 0,
        )
        Backend(row, isPeer = true)
    }
}
