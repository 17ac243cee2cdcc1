package gentiandale.state.raft

import gentiandale.core.Configuration
import gentiandale.core.RecordId
import gentiandale.core.VmId
import gentiandale.state.history.CompareAndSetRegister
import gentiandale.state.history.LinearizabilityChecker
import gentiandale.state.history.RegisterInput
import gentiandale.state.history.RegisterOperation
import gentiandale.state.history.RegisterOutput
import kotlin.random.Random

/** Simulates voters, a faulty network and operators in virtual time. A run is reproducible from its seed. */
class Simulation(
    voters: Int,
    seed: Int,
    spares: Int = 0,
    val replacementPolicy: VoterReplacementPolicy? = null,
    val formation: GroupFormation = GroupFormation.AfterAllReplies,
) {
    val time = VirtualTime()

    /** Formation of a VM that is started again. */
    val laterFormation: GroupFormation =
        if (formation is GroupFormation.AtFirstStart) GroupFormation.AsRecorded else formation
    val initial = (1..voters).map { VmId("vm$it") }
    val records = (1..RECORDS).map { RecordId("rank", "r$it") }
    private val random = Random(seed)
    val nodes = (1..voters + spares).map { SimulatedNode(VmId("vm$it"), this, Random(random.nextInt())) }
    private val operators = (1..OPERATORS).map { SimulatedOperator("operator$it", this, Random(random.nextInt())) }
    private val cuts = HashSet<Pair<VmId, VmId>>()
    private val accepted = HashMap<Long, Configuration>()
    var lossyNetwork = false

    fun start() = nodes.forEach { it.start() }

    fun startOperators() = operators.forEach { it.start() }

    fun run(ms: Long) = time.runUntil(time.nowMs + ms)

    fun runUntil(what: String, timeoutMs: Long = TIMEOUT_MS, condition: () -> Boolean) {
        val endMs = time.nowMs + timeoutMs
        while (!condition()) {
            check(time.nowMs < endMs) { "Timed out after $timeoutMs ms waiting for: $what. ${nodes.map { it.status }}" }
            run(STEP_MS)
        }
    }

    fun node(vm: VmId) = nodes.first { it.vm == vm }

    /** Returns the leader of the highest term, or null if no node is a leader. */
    fun leader(): SimulatedNode? =
        nodes.filter { it.status?.isLeader == true }.maxByOrNull { it.status?.term ?: 0 }

    fun cut(from: VmId, to: VmId) {
        cuts += from to to
    }

    /** Partitions [vm] from all other VMs in both directions. */
    fun isolate(vm: VmId) = nodes.filter { it.vm != vm }.forEach {
        cut(vm, it.vm)
        cut(it.vm, vm)
    }

    fun heal() = cuts.clear()

    fun deliver(from: VmId, to: VmId, action: (SimulatedNode) -> Unit) {
        if (from to to in cuts || (lossyNetwork && random.nextInt(DROP_ONE_IN) == 0)) return
        val copies = if (lossyNetwork && random.nextInt(DUPLICATE_ONE_IN) == 0) 2 else 1
        repeat(copies) {
            val slow = lossyNetwork && random.nextInt(SLOW_ONE_IN) == 0
            val delayMs = random.nextLong(1, if (slow) SLOW_DELAY_MS else DELAY_MS)
            time.after(delayMs) { action(node(to)) }
        }
    }

    /** Checks that [current] equals the configurations that other VMs had at the same revision. */
    fun checkConfiguration(current: Configuration) {
        val known = accepted.getOrPut(current.revision) { current }
        check(known == current) { "Two configurations at revision ${current.revision}." }
    }

    /** Injects one random fault or heals the network. */
    fun injectFault() {
        val victim = nodes.random(random)
        when (random.nextInt(8)) {
            0 -> isolate(victim.vm)
            1 -> nodes.filter { it != victim }.forEach { cut(victim.vm, it.vm) }
            2 -> nodes.filter { it != victim }.forEach { cut(it.vm, victim.vm) }
            3 -> heal()
            4 -> restartLater(victim.also { it.crash() })
            5 -> victim.failDisk()
            6 -> (leader() ?: victim).freeze(random.nextLong(MAX_FREEZE_MS))
            else -> loseDiskIfMembersHealthy(victim)
        }
    }

    /** Ends all faults, lets the group recover and checks that all members converge to the same configuration. */
    fun recover() {
        lossyNetwork = false
        heal()
        nodes.forEach { it.folder.failAtOperation = Int.MAX_VALUE }
        nodes.forEach { it.start() }
        run(RECOVERY_MS)
        operators.forEach { it.stop() }
        run(RECOVERY_MS)
        runUntil("all members have the same configuration") { members().distinctBy { it.configuration }.size == 1 }
        check(leader() != null) { "No leader after all faults ended." }
    }

    fun checkHistories() {
        val all = operators.flatMap { it.history }
        val last = members().first().configuration
        records.forEach { id ->
            val value = last?.find(id)
            val read = RegisterOperation(
                RegisterInput.Read,
                RegisterOutput.Value(value?.version ?: 0, value?.body),
                time.nowMs,
                time.nowMs,
            )
            val history = all.filter { it.first == id }.map { it.second } + read
            check(LinearizabilityChecker(CompareAndSetRegister).isLinearizable(history)) {
                "Not linearizable: $id\n${history.sortedBy { it.invoked }.joinToString("\n")}"
            }
        }
    }

    val answeredWrites: Int get() = operators.sumOf { o ->
        o.history.count { it.second.output is RegisterOutput.Written }
    }

    /** All VMs. With automatic replacement only the current voters, as spares do not receive the log. */
    private fun members(): List<SimulatedNode> {
        if (replacementPolicy == null) return nodes
        val voters = leader()?.status?.membership?.voters.orEmpty()
        return nodes.filter { it.status?.self in voters }
    }

    private fun restartLater(node: SimulatedNode) = time.after(random.nextLong(MAX_DOWNTIME_MS)) { node.start() }

    /** Wipes a disk only while no other voter is lost or being replaced, as the protocol assumes. */
    private fun loseDiskIfMembersHealthy(victim: SimulatedNode) {
        val members = nodes.mapNotNull { it.status }
        val present = members.map { it.self }.toSet()
        val healthy = members.size == nodes.size &&
            members.all { m ->
                m.membership.learners.isEmpty() && m.membership.voters.toSet() == present
            }
        if (!healthy) return
        victim.loseDisk()
        restartLater(victim)
    }

    private companion object {
        const val RECORDS = 3
        const val OPERATORS = 4
        const val DROP_ONE_IN = 20
        const val DUPLICATE_ONE_IN = 20
        const val SLOW_ONE_IN = 20
        const val SLOW_DELAY_MS = 800L
        const val DELAY_MS = 10L
        const val MAX_DOWNTIME_MS = 3_000L
        const val MAX_FREEZE_MS = 4_000L
        const val RECOVERY_MS = 8_000L
        const val STEP_MS = 50L
        const val TIMEOUT_MS = 30_000L
    }
}
