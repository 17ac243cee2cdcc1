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

/** Voters in one process, on loopback ports and with real files under [base]. */
internal class VoterGroup(private val base: Path, size: Int) : AutoCloseable {
    private val vms = (1..size).map { VmId("vm$it") }
    private val ports = ConcurrentHashMap<VmId, Int>()
    private val running = ConcurrentHashMap<VmId, Member>()
    private val silent = ConcurrentHashMap.newKeySet<VmId>()

    private class Member(val node: PeerNode, val store: RaftStore)

    val stores: List<RaftStore> get() = vms.mapNotNull { running[it]?.store }

    /** Bytes that each VM has sent. */
    val bytesSent: Map<VmId, Long> get() = running.mapValues { it.value.node.bytesSent }

    fun startAll() = vms.forEach(::start)

    fun start(vm: VmId) = runBlocking {
        val node = PeerNode(vm) { from, to, _ -> from !in silent && to !in silent }
        ports[vm] = node.listen(Address(LOOPBACK, ports[vm] ?: 0))
        val opening = RaftStore.open(node, vms, DiskFolder(base.resolve(vm.value)))
        val store = (opening as? StoreOpenResult.Opened)?.store ?: error("$opening")
        running[vm] = Member(node, store)
        running.values.forEach { member ->
            ports.filterKeys { it != member.node.self }
                .forEach { (peer, port) -> member.node.setAddress(peer, Address(LOOPBACK, port)) }
        }
        store.start()
    }

    fun stop(vm: VmId) {
        running.remove(vm)?.let {
            it.node.close()
            it.store.close()
        }
    }

    /** Cuts all links of [vm]. */
    fun silence(vm: VmId) {
        silent += vm
    }

    fun unsilence(vm: VmId) {
        silent -= vm
    }

    /** Waits for a leader other than [old] and returns it. */
    suspend fun awaitLeader(old: VmId? = null): VmId = await {
        running.entries.firstOrNull { it.key != old && it.value.store.status.value?.isLeader == true }?.key
    }

    /** Waits until [find] finds something. */
    suspend fun <T : Any> await(find: () -> T?): T {
        while (true) find()?.let { return it } ?: delay(STEP_MS)
    }

    override fun close() = vms.forEach(::stop)

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val STEP_MS = 2L
    }
}
