package gentiandale.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import gentiandale.cluster.ClusterCodec
import gentiandale.cluster.ClusterCore
import gentiandale.cluster.ClusterDatagram
import gentiandale.cluster.directory.ServerRow
import gentiandale.cluster.member.MemberRow
import gentiandale.cluster.virtual.VirtualNetwork
import gentiandale.core.Address
import gentiandale.core.Announcement
import gentiandale.core.Configuration
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ModelId
import gentiandale.core.RecordId
import gentiandale.core.RegionId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.StoredRecord
import gentiandale.core.VmId
import kotlin.random.Random

/**
 * Measures the cost of membership and of configuration propagation per VM, in virtual time with encoded datagrams, and
 * the memory that one VM needs for the state of the cluster.
 */
internal class ClusterBench : CliktCommand(name = "cluster") {
    private val sizes by option("--sizes", help = "Cluster sizes in VMs.").int().split(",").default(listOf(9, 50, 100))
    private val seconds by option("--seconds", help = "Virtual time of each measurement in seconds.").int().default(60)
    private val serversPerVm by option("--servers-per-vm", help = "Reporting servers per VM.").int().default(2)
    private val stateServersPerVm by option("--state-servers-per-vm", help = "Servers per VM for the state size.").int()
        .default(13)
    private val seed by option("--seed").long().default(1L)

    override fun help(context: Context): String = "Measures the cost of membership and propagation in virtual time."

    override fun run() {
        echo(HEADING)
        sizes.forEach { size ->
            val state = ClusterStateFootprint(size, size * stateServersPerVm).bytes()
            ClusterSimulation(size, size * serversPerVm, seconds, seed).csvRows().forEach { echo("$it,$state") }
        }
    }
}

private const val HEADING =
    "vms,reporting servers,work,bytes/s,worst bytes/s,messages/s,core us/s,median ms,p99 ms,worst ms,state bytes"

/** Measures the heap memory that one VM uses to store the rows of [size] VMs and [servers] servers. */
private class ClusterStateFootprint(private val size: Int, private val servers: Int) {
    fun bytes(): Long {
        val self = memberRow(0)
        val before = usedHeapBytes()
        val core = ClusterCore(self, emptyList(), Random(1))
        val members = (1 until size).map(::memberRow).chunked(ROWS_PER_DATAGRAM) {
            datagram(self).copy(members = it.toList())
        }
        val facts = (0 until servers).map { ServerRow(serverFacts(it, size, 1)) }
        val rows = facts.chunked(ROWS_PER_DATAGRAM) { datagram(self).copy(servers = it.toList()) }
        (members + rows).forEach { datagram ->
            core.receive(1, requireNotNull(ClusterCodec.decode(ClusterCodec.encode(datagram))))
        }
        core.cells()
        val used = usedHeapBytes() - before
        check(core.servers().size == servers) { "Expected $servers servers, but ${core.servers().size} are known" }
        return used
    }

    private fun datagram(self: MemberRow) = ClusterDatagram(VmId("vm-1"), self.incarnation)

    private companion object {
        const val ROWS_PER_DATAGRAM = 4
    }
}

private class ClusterSimulation(private val size: Int, private val servers: Int, private val seconds: Int, seed: Long) {
    private val random = Random(seed)
    private val network = VirtualNetwork(seed, encode = true)
    private val members = List(size, ::memberRow)
    private val incarnationOffsets = HashMap<Int, Long>()
    private var configuration = Configuration()
    private val propagationMs = mutableListOf<Long>()

    fun csvRows(): List<String> {
        members.forEach { member -> network.add(ClusterCore(member, members - member, Random(random.nextLong()))) }
        network.run(SETTLE_MS)
        repeat(SETTLE_ROUNDS) { reportAll() }
        val idle = measure("idle") {}
        val changes = measure("1 change/25 s") { second -> if (second % CHANGE_INTERVAL_S == 0) changeConfiguration() }
        val restarts = measure("1 restart/60 s") { second -> if (second % RESTART_INTERVAL_S == 0) restartServer() }
        return listOf(idle, changes, restarts)
    }

    private fun measure(work: String, eachSecond: (Int) -> Unit): String {
        propagationMs.clear()
        network.resetCosts()
        val start = network.now
        for (second in 0 until seconds) {
            eachSecond(second)
            repeat(REPORTS_PER_S) { reportAll() }
        }
        val elapsed = (network.now - start) / MS_PER_SECOND.toDouble()
        val costs = members.map { network.cost(it.vm) }
        val bytes = costs.map { it.bytesSent / elapsed }
        val messages = costs.sumOf { it.messagesSent } / elapsed / size
        val micros = costs.sumOf { it.coreNanos } / NANOS_PER_MICRO / elapsed / size
        val percentiles = listOf(MEDIAN, P99, 1.0).joinToString(",") { percentile(it) }
        val cost = "%.0f,%.0f,%.1f,%.0f".format(bytes.average(), bytes.max(), messages, micros)
        return "$size,$servers,$work,$cost,$percentiles"
    }

    /**
     * Accepts a configuration change on one VM and records the time until it is in force on each VM; a VM that does not
     * have it within [PROPAGATION_TIMEOUT_MS] is recorded with [Long.MAX_VALUE].
     */
    private fun changeConfiguration() {
        val id = RecordId("rank", "r${random.nextInt(RECORDS)}")
        val version = (configuration.find(id)?.version ?: 0) + 1
        val record = StoredRecord(id, 1, version, "x".repeat(BODY_BYTES))
        val records = configuration.records.filter { it.id != id } + record
        configuration = Configuration(configuration.revision + 1, records)
        val start = network.now
        network.runOn(members[0].vm) { acceptConfiguration(configuration) }
        val missing = members.map { it.vm }.toMutableSet()
        network.runUntil(PROPAGATION_TIMEOUT_MS, stepMs = 1) {
            val updated = missing.filter { network.core(it).revision >= configuration.revision }
            updated.forEach { propagationMs += network.now - start }
            missing -= updated.toSet()
            missing.isEmpty()
        }
        missing.forEach { propagationMs += Long.MAX_VALUE }
    }

    /** Sends a report of every server to the VM that owns it and advances time by [REPORT_INTERVAL_MS]. */
    private fun reportAll() {
        repeat(servers) { announce(it, leaving = false) }
        network.run(REPORT_INTERVAL_MS)
    }

    private fun restartServer() {
        val server = random.nextInt(servers)
        announce(server, leaving = true)
        network.run(RESTART_PAUSE_MS)
        incarnationOffsets[server] = (incarnationOffsets[server] ?: 1) + 1
        announce(server, leaving = false)
    }

    private fun announce(server: Int, leaving: Boolean) {
        val facts = serverFacts(server, size, incarnationOffsets[server] ?: 1).copy(leaving = leaving)
        val owner = network.core(members[0].vm).cells().ownerOf(facts) ?: members[0].vm
        network.runOn(owner) { announce(it, Announcement(facts)).second }
    }

    private fun percentile(share: Double): String {
        if (propagationMs.isEmpty()) return "-"
        return propagationMs.sorted()[((propagationMs.size - 1) * share).toInt()].toString()
    }

    private companion object {
        const val SETTLE_MS = 4_000L
        const val SETTLE_ROUNDS = 60
        const val REPORTS_PER_S = 2
        const val REPORT_INTERVAL_MS = 500L
        const val RESTART_PAUSE_MS = 200L
        const val CHANGE_INTERVAL_S = 25
        const val RESTART_INTERVAL_S = 60
        const val MS_PER_SECOND = 1_000L
        const val NANOS_PER_MICRO = 1_000.0
        const val PROPAGATION_TIMEOUT_MS = 10_000L
        const val RECORDS = 200
        const val BODY_BYTES = 200
        const val MEDIAN = 0.5
        const val P99 = 0.99
    }
}

private const val MODELS = 8
private const val DATA_CENTRES = 8
private const val DATA_CENTRES_PER_REGION = 4
private const val HOSTS_PER_SUBNET = 250
private const val FIRST_INCARNATION = 1_790_000_000_000L

private fun memberRow(i: Int): MemberRow {
    val dataCentre = i % DATA_CENTRES
    return MemberRow(
        vm = VmId("vm-$i"),
        dataCentre = DataCentreId("dc-$dataCentre"),
        region = RegionId("region-${dataCentre / DATA_CENTRES_PER_REGION}"),
        http = Address("10.0.${i / HOSTS_PER_SUBNET}.${i % HOSTS_PER_SUBNET}", 8_000),
        peer = Address("10.0.${i / HOSTS_PER_SUBNET}.${i % HOSTS_PER_SUBNET}", 9_000),
        voter = i < 5,
        incarnation = Incarnation(FIRST_INCARNATION + i),
    )
}

private fun serverFacts(server: Int, vms: Int, incarnationOffset: Long) = ServerFacts(
    server = ServerId("server-$server"),
    incarnation = Incarnation(FIRST_INCARNATION + incarnationOffset),
    address = Address("10.1.${server / HOSTS_PER_SUBNET}.${server % HOSTS_PER_SUBNET}", 7_000),
    dataCentre = memberRow(server % vms).dataCentre,
    kind = if (server % 3 == 0) ServerKind.PREFILL else ServerKind.DECODE,
    model = ModelId("model-${server % MODELS}"),
    version = "v1",
    places = 20,
    memoryBlocks = 400,
    prefillTokensPerSecond = 20_000.0,
    linkBytesPerSecond = 2e9,
)

private fun usedHeapBytes(): Long {
    repeat(2) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}
