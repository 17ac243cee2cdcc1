package gentiandale.state.raft

import gentiandale.core.Configuration
import gentiandale.core.RecordId
import gentiandale.core.VmId
import gentiandale.state.history.ConditionalRegister
import gentiandale.state.history.LinearizabilityChecker
import gentiandale.state.history.RegisterInput
import gentiandale.state.history.RegisterOperation
import gentiandale.state.history.RegisterOutput
import kotlin.random.Random

/** Voters, a network with faults and operators in virtual time. The same seed gives the same run. */
class Simulation(voters: Int, seed: Int, spares: Int = 0, val automatic: VoterReplacementPolicy? = null) {
    val time = VirtualTime()
    val initial = (1..voters).map { VmId("vm$it") }
    val records = (1..RECORDS).map { RecordId("rank", "r$it") }
    private val random = Random(seed)
    val nodes = (1..voters + spares).map { SimulatedNode(VmId("vm$it"), this, Random(random.nextInt())) }
    private val operators = (1..OPERATORS).map { SimulatedOperator("operator$it", this, Random(random.nextInt())) }
    private val cuts = HashSet<Pair<VmId, VmId>>()
    private val accepted = HashMap<Long, Configuration>()
    var faulty = false

    fun start() = nodes.forEach { it.start() }

    fun startOperators() = operators.forEach { it.start() }

    fun run(ms: Long) = time.runUntil(time.nowMs + ms)

    fun runUntil(what: String, limitMs: Long = LIMIT_MS, condition: () -> Boolean) {
        val endMs = time.nowMs + limitMs
        while (!condition()) {
            check(time.nowMs < endMs) { "Not within $limitMs ms: $what. ${nodes.map { it.status }}" }
            run(STEP_MS)
        }
    }

    fun node(vm: VmId) = nodes.first { it.vm == vm }

    /** The leader that a majority has confirmed last, or null. */
    fun leader(): SimulatedNode? =
        nodes.filter { it.status?.isLeader == true }.maxByOrNull { it.status?.term ?: 0 }

    fun cut(from: VmId, to: VmId) {
        cuts += from to to
    }

    /** Cuts [vm] off from all others. */
    fun isolate(vm: VmId) = nodes.filter { it.vm != vm }.forEach {
        cut(vm, it.vm)
        cut(it.vm, vm)
    }

    fun heal() = cuts.clear()

    fun deliver(from: VmId, to: VmId, action: (SimulatedNode) -> Unit) {
        if (from to to in cuts || (faulty && random.nextInt(DROP_ONE_IN) == 0)) return
        val copies = if (faulty && random.nextInt(DUPLICATE_ONE_IN) == 0) 2 else 1
        repeat(copies) {
            val slow = faulty && random.nextInt(SLOW_ONE_IN) == 0
            val delayMs = random.nextLong(1, if (slow) SLOW_DELAY_MS else DELAY_MS)
            time.after(delayMs) { action(node(to)) }
        }
    }

    /** Checks that all VMs that reach a revision have the same configuration there. */
    fun observe(present: Configuration) {
        val known = accepted.getOrPut(present.revision) { present }
        check(known == present) { "Two configurations at revision ${present.revision}." }
    }

    /** Puts in one random failure. */
    fun disturb() {
        val victim = nodes.random(random)
        when (random.nextInt(8)) {
            0 -> isolate(victim.vm)
            1 -> nodes.filter { it != victim }.forEach { cut(victim.vm, it.vm) }
            2 -> nodes.filter { it != victim }.forEach { cut(it.vm, victim.vm) }
            3 -> heal()
            4 -> restartLater(victim.also { it.crash() })
            5 -> victim.failDisk()
            6 -> (leader() ?: victim).freeze(random.nextLong(FREEZE_MS))
            else -> loseDiskIfRepaired(victim)
        }
    }

    /** Ends all failures, lets the group recover and returns the whole history with a last read of each record. */
    fun settle() {
        faulty = false
        heal()
        nodes.forEach { it.folder.failAt = Int.MAX_VALUE }
        nodes.forEach { it.start() }
        run(SETTLE_MS)
        operators.forEach { it.stop() }
        run(SETTLE_MS)
        runUntil("all members have the same configuration") { members().distinctBy { it.configuration }.size == 1 }
        check(leader() != null) { "No leader after all failures ended." }
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
            check(LinearizabilityChecker(ConditionalRegister).isLinearizable(history)) {
                "Not linearizable: $id\n${history.sortedBy { it.invoked }.joinToString("\n")}"
            }
        }
    }

    val answeredWrites: Int get() = operators.sumOf { o ->
        o.history.count { it.second.output is RegisterOutput.Written }
    }

    /** All VMs; where voters are replaced by themselves the voters, as a spare takes no part. */
    private fun members(): List<SimulatedNode> {
        if (automatic == null) return nodes
        val voters = leader()?.status?.membership?.voters.orEmpty()
        return nodes.filter { it.status?.self in voters }
    }

    private fun restartLater(node: SimulatedNode) = time.after(random.nextLong(DOWN_MS)) { node.start() }

    /** Loses a disk only while no other voter is lost or being replaced, as the assumptions of the group say. */
    private fun loseDiskIfRepaired(victim: SimulatedNode) {
        val members = nodes.mapNotNull { it.status }
        val present = members.map { it.self }.toSet()
        val repaired = members.size == nodes.size &&
            members.all { m ->
                m.membership.learners.isEmpty() && m.membership.voters.toSet() == present
            }
        if (!repaired) return
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
        const val DOWN_MS = 3_000L
        const val FREEZE_MS = 4_000L
        const val SETTLE_MS = 8_000L
        const val STEP_MS = 50L
        const val LIMIT_MS = 30_000L
    }
}
