package gentiandale.cluster

import gentiandale.cluster.member.MemberRow
import gentiandale.cluster.virtual.VirtualNetwork
import gentiandale.core.Address
import gentiandale.core.Announcement
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.RegionId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.VmState
import kotlin.random.Random

/** Entry VMs on a [VirtualNetwork], in [dataCentres] data centres of one region. */
internal class VirtualFleet(
    val seed: Long,
    val size: Int,
    loss: Double = 0.0,
    private val dataCentres: Int = 4,
    encode: Boolean = false,
) {
    val net = VirtualNetwork(seed, loss = loss, encode = encode)
    val rows = List(size) { row(it) }
    val vms = rows.map { it.vm }

    init {
        rows.forEach { net.add(newCore(it)) }
    }

    fun row(i: Int, incarnation: Long = 1) = MemberRow(
        vm = VmId("vm-$i"),
        dataCentre = DataCentreId("dc-${i % dataCentres}"),
        region = RegionId("gauteng"),
        http = Address("10.0.0.${i % 250}", 8_000 + i),
        peer = Address("10.0.0.${i % 250}", 9_000 + i),
        voter = i < 5,
        incarnation = Incarnation(incarnation),
    )

    fun newCore(row: MemberRow): ClusterCore {
        val peers = rows.filter { it.vm != row.vm }.map { it.copy(incarnation = Incarnation(0)) }
        return ClusterCore(row, peers, Random(seed * 1_000 + row.vm.hashCode() + row.incarnation.value))
    }

    fun stateAt(at: VmId, of: VmId): VmState? = net.core(at).vms()[of]?.state

    fun facts(name: String, incarnation: Long = 1, port: Int = 7_000, leaving: Boolean = false) = ServerFacts(
        server = ServerId(name),
        incarnation = Incarnation(incarnation),
        address = Address("10.1.0.1", port),
        dataCentre = DataCentreId("dc-0"),
        kind = ServerKind.DECODE,
        model = ModelId("chat-small"),
        places = 20,
        leaving = leaving,
    )

    fun announce(at: VmId, facts: ServerFacts) {
        net.runOn(at) { announce(it, Announcement(facts)).second }
    }

    /** Advances time by [ms] while each server of [facts] reports to its owner every 500 ms. */
    fun runWithReports(ms: Long, vararg facts: ServerFacts) {
        repeat((ms / REPORT_PERIOD_MS).toInt()) {
            facts.forEach { announce(ownerOf(it), it) }
            net.run(REPORT_PERIOD_MS)
        }
    }

    fun ownerOf(facts: ServerFacts): VmId {
        val observer = net.running.first()
        return net.core(observer).cells().ownerOf(facts)?.takeIf { it in net.running } ?: observer
    }

    companion object {
        const val REPORT_PERIOD_MS = 500L
        val SEEDS = 1L..5L
    }
}
