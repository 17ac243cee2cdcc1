package gentiandale.bench.state

import gentiandale.core.Address
import gentiandale.core.VmId
import gentiandale.state.RaftStore
import gentiandale.state.StoreOpenResult
import gentiandale.state.log.DiskFolder
import gentiandale.wire.PeerNode
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap

/** Group of voters in one process, which communicate over loopback ports and store their logs under [base]. */
internal class VoterGroup(private val base: Path, size: Int) : AutoCloseable {
    private val vms = (1..size).map { VmId("vm$it") }
    private val ports = ConcurrentHashMap<VmId, Int>()
    private val running = ConcurrentHashMap<VmId, RunningVoter>()
    private val isolated = ConcurrentHashMap.newKeySet<VmId>()

    private class RunningVoter(val node: PeerNode, val store: RaftStore)

    val stores: List<RaftStore> get() = vms.mapNotNull { running[it]?.store }

    /** Bytes sent by each running VM. */
    val bytesSent: Map<VmId, Long> get() = running.mapValues { it.value.node.bytesSent }

    fun startAll() = vms.forEach(::start)

    fun start(vm: VmId) = runBlocking {
        val node = PeerNode(vm) { from, to, _ -> from !in isolated && to !in isolated }
        ports[vm] = node.listen(Address(LOOPBACK, ports[vm] ?: 0))
        val openResult = RaftStore.open(node, vms, DiskFolder(base.resolve(vm.value)))
        val store = (openResult as? StoreOpenResult.Opened)?.store
            ?: error("Cannot open the state store of $vm: $openResult")
        running[vm] = RunningVoter(node, store)
        running.values.forEach { voter ->
            ports.filterKeys { it != voter.node.self }
                .forEach { (peer, port) -> voter.node.setAddress(peer, Address(LOOPBACK, port)) }
        }
        store.start()
    }

    fun stop(vm: VmId) {
        running.remove(vm)?.let {
            it.node.close()
            it.store.close()
        }
    }

    /** Drops all messages from and to [vm] until [reconnect]. */
    fun isolate(vm: VmId) {
        isolated += vm
    }

    fun reconnect(vm: VmId) {
        isolated -= vm
    }

    /** Waits until a voter other than [previous] is the leader and returns it. */
    suspend fun awaitLeader(previous: VmId? = null): VmId = await {
        running.entries.firstOrNull { it.key != previous && it.value.store.status.value?.isLeader == true }?.key
    }

    /** Polls [find] until it returns a value and returns that value. */
    suspend fun <T : Any> await(find: () -> T?): T {
        while (true) find()?.let { return it } ?: delay(POLL_INTERVAL_MS)
    }

    override fun close() = vms.forEach(::stop)

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val POLL_INTERVAL_MS = 2L
    }
}
