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

/** Measures the cost of membership and spread for a node, in virtual time with encoded datagrams. */
internal class ClusterBench : CliktCommand(name = "cluster") {
    private val sizes by option("--sizes", help = "Numbers of VMs.").int().split(",").default(listOf(9, 50, 100))
    private val seconds by option("--seconds", help = "Virtual seconds of each measurement.").int().default(60)
    private val serversPerVm by option("--servers-per-vm", help = "Servers that report.").int().default(2)
    private val stateServersPerVm by option("--state-servers-per-vm", help = "For the size of the state.").int()
        .default(13)
    private val seed by option("--seed").long().default(1L)

    override fun help(context: Context): String = "Measures membership and spread in virtual time."

    override fun run() {
        echo(HEADING)
        sizes.forEach { size ->
            val state = ClusterState(size, size * stateServersPerVm).bytes()
            ClusterRun(size, size * serversPerVm, seconds, seed).rows().forEach { echo("$it,$state") }
        }
    }
}

private const val HEADING =
    "vms,reporting servers,work,bytes/s,worst bytes/s,messages/s,core us/s,median ms,p99 ms,worst ms,state bytes"

/** Size of what one VM keeps of [size] VMs and [servers] servers. */
private class ClusterState(private val size: Int, private val servers: Int) {
    fun bytes(): Long {
        val self = memberRow(0)
        val before = usedBytes()
        val core = ClusterCore(self, emptyList(), Random(1))
        val members = (1 until size).map(::memberRow).chunked(ROWS) { datagram(self).copy(members = it.toList()) }
        val facts = (0 until servers).map { ServerRow(serverFacts(it, size, 1)) }
        val rows = facts.chunked(ROWS) { datagram(self).copy(servers = it.toList()) }
        (members + rows).forEach { datagram ->
            core.receive(1, requireNotNull(ClusterCodec.decode(ClusterCodec.encode(datagram))))
        }
        core.cells()
        val used = usedBytes() - before
        check(core.servers().size == servers) { "${core.servers().size} servers are known." }
        return used
    }

    private fun datagram(self: MemberRow) = ClusterDatagram(VmId("vm-1"), self.incarnation)

    private companion object {
        const val ROWS = 4
    }
}

private class ClusterRun(private val size: Int, private val servers: Int, private val seconds: Int, seed: Long) {
    private val random = Random(seed)
    private val net = VirtualNetwork(seed, encode = true)
    private val rows = List(size, ::memberRow)
    private val incarnations = HashMap<Int, Long>()
    private var configuration = Configuration()
    private val spreadMs = mutableListOf<Long>()

    fun rows(): List<String> {
        rows.forEach { row -> net.add(ClusterCore(row, rows - row, Random(random.nextLong()))) }
        net.run(SETTLE_MS)
        repeat(SETTLE_ROUNDS) { reportAll() }
        val idle = measure("idle") {}
        val changes = measure("1 change/25 s") { second -> if (second % CHANGE_S == 0) change() }
        val restarts = measure("1 restart/60 s") { second -> if (second % RESTART_S == 0) restart() }
        return listOf(idle, changes, restarts)
    }

    private fun measure(work: String, each: (Int) -> Unit): String {
        spreadMs.clear()
        net.resetCosts()
        val start = net.now
        for (second in 0 until seconds) {
            each(second)
            repeat(REPORTS_PER_S) { reportAll() }
        }
        val elapsed = (net.now - start) / MS_PER_SECOND.toDouble()
        val costs = rows.map { net.cost(it.vm) }
        val bytes = costs.map { it.bytesSent / elapsed }
        val messages = costs.sumOf { it.messagesSent } / elapsed / size
        val micros = costs.sumOf { it.coreNanos } / NANOS_PER_MICRO / elapsed / size
        val spread = listOf(MEDIAN, P99, 1.0).joinToString(",") { percentile(it) }
        val cost = "%.0f,%.0f,%.1f,%.0f".format(bytes.average(), bytes.max(), messages, micros)
        return "$size,$servers,$work,$cost,$spread"
    }

    /** Accepts a change on one VM and notes when it is in force on each. */
    private fun change() {
        val id = RecordId("rank", "r${random.nextInt(RECORDS)}")
        val version = (configuration.find(id)?.version ?: 0) + 1
        val record = StoredRecord(id, 1, version, "x".repeat(BODY_BYTES))
        val records = configuration.records.filter { it.id != id } + record
        configuration = Configuration(configuration.revision + 1, records)
        val start = net.now
        net.runOn(rows[0].vm) { acceptConfiguration(configuration) }
        val missing = rows.map { it.vm }.toMutableSet()
        net.runUntil(SPREAD_LIMIT_MS, stepMs = 1) {
            val arrived = missing.filter { net.core(it).revision >= configuration.revision }
            arrived.forEach { spreadMs += net.now - start }
            missing -= arrived.toSet()
            missing.isEmpty()
        }
        missing.forEach { spreadMs += Long.MAX_VALUE }
    }

    /** Lets every server report to the VM that takes its reports, and half a second pass. */
    private fun reportAll() {
        repeat(servers) { announce(it, leaving = false) }
        net.run(REPORT_MS)
    }

    private fun restart() {
        val server = random.nextInt(servers)
        announce(server, leaving = true)
        net.run(RESTART_PAUSE_MS)
        incarnations[server] = (incarnations[server] ?: 1) + 1
        announce(server, leaving = false)
    }

    private fun announce(server: Int, leaving: Boolean) {
        val facts = serverFacts(server, size, incarnations[server] ?: 1).copy(leaving = leaving)
        val owner = net.core(rows[0].vm).cells().ownerOf(facts) ?: rows[0].vm
        net.runOn(owner) { announce(it, Announcement(facts)).second }
    }

    private fun percentile(share: Double): String {
        if (spreadMs.isEmpty()) return "-"
        return spreadMs.sorted()[((spreadMs.size - 1) * share).toInt()].toString()
    }

    private companion object {
        const val SETTLE_MS = 4_000L
        const val SETTLE_ROUNDS = 60
        const val REPORTS_PER_S = 2
        const val REPORT_MS = 500L
        const val RESTART_PAUSE_MS = 200L
        const val CHANGE_S = 25
        const val RESTART_S = 60
        const val MS_PER_SECOND = 1_000L
        const val NANOS_PER_MICRO = 1_000.0
        const val SPREAD_LIMIT_MS = 10_000L
        const val RECORDS = 200
        const val BODY_BYTES = 200
        const val MEDIAN = 0.5
        const val P99 = 0.99
    }
}

private const val MODELS = 8
private const val DATA_CENTRES = 8
private const val DATA_CENTRES_PER_REGION = 4
private const val HOSTS = 250
private const val FIRST_INCARNATION = 1_790_000_000_000L

private fun memberRow(i: Int): MemberRow {
    val dataCentre = i % DATA_CENTRES
    return MemberRow(
        vm = VmId("vm-$i"),
        dataCentre = DataCentreId("dc-$dataCentre"),
        region = RegionId("region-${dataCentre / DATA_CENTRES_PER_REGION}"),
        http = Address("10.0.${i / HOSTS}.${i % HOSTS}", 8_000),
        peer = Address("10.0.${i / HOSTS}.${i % HOSTS}", 9_000),
        voter = i < 5,
        incarnation = Incarnation(FIRST_INCARNATION + i),
    )
}

private fun serverFacts(server: Int, vms: Int, life: Long) = ServerFacts(
    server = ServerId("server-$server"),
    incarnation = Incarnation(FIRST_INCARNATION + life),
    address = Address("10.1.${server / HOSTS}.${server % HOSTS}", 7_000),
    dataCentre = memberRow(server % vms).dataCentre,
    kind = if (server % 3 == 0) ServerKind.PREFILL else ServerKind.DECODE,
    model = ModelId("model-${server % MODELS}"),
    version = "v1",
    places = 20,
    memoryBlocks = 400,
    prefillTokensPerSecond = 20_000.0,
    linkBytesPerSecond = 2e9,
)

private fun usedBytes(): Long {
    repeat(2) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}
