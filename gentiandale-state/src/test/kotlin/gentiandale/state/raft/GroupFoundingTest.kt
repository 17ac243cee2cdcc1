package gentiandale.state.raft

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Runs first starts in which VMs fail while the group is founded. */
class GroupFoundingTest {
    private fun simulation(voters: Int, seed: Int = 1, losses: Int = 1) = Simulation(
        voters,
        seed,
        replacementPolicy = VoterReplacementPolicy(target = 2 * losses + 1),
        formation = GroupFormation.AtFirstStart,
    )

    /** Groups that VMs have ever belonged to, sampled while the simulation runs. */
    private class GroupRecord(private val simulation: Simulation) {
        val groups = HashSet<GroupId>()

        fun run(ms: Long) = repeat((ms / STEP_MS).toInt()) {
            simulation.run(STEP_MS)
            groups += simulation.nodes.mapNotNull { it.status?.group }
        }

        fun runUntilLeader(boundMs: Long) {
            val endMs = simulation.time.nowMs + boundMs
            while (simulation.leader() == null && simulation.time.nowMs < endMs) run(STEP_MS)
            assertTrue(
                simulation.leader() != null,
                "No leader after $boundMs ms: ${simulation.nodes.map {
                    it.status
                }}",
            )
        }
    }

    private fun Simulation.checkOneGroup(record: GroupRecord) {
        record.runUntilLeader(LEADER_BOUND_MS)
        record.run(SETTLE_MS)
        assertEquals(1, record.groups.size, "Groups: ${record.groups}")
        assertEquals(1, nodes.count { it.status?.isLeader == true })
    }

    @Nested
    inner class WithoutFaults {
        @Test
        fun `all initial VMs become voters`() {
            listOf(1, 3, 6).forEach { count ->
                val simulation = simulation(count, losses = 3)
                val record = GroupRecord(simulation)
                simulation.start()
                simulation.checkOneGroup(record)
                assertEquals(count, simulation.leader()?.status?.membership?.voters?.size)
            }
        }

        @Test
        fun `a VM that starts late joins the group`() {
            val simulation = simulation(3)
            val record = GroupRecord(simulation)
            simulation.nodes.drop(1).forEach { it.start() }
            record.run(SETTLE_MS)
            simulation.nodes.first().start()
            simulation.checkOneGroup(record)
            simulation.runUntil("three voters") { simulation.leader()?.status?.membership?.voters?.size == 3 }
        }
    }

    @Nested
    inner class Minority {
        @Test
        fun `founds no group, not even after it has waited for long`() {
            val simulation = simulation(3)
            simulation.nodes.first().start()
            simulation.run(LONG_MS)
            assertNull(simulation.nodes.first().status?.group)
        }

        @Test
        fun `founds no group together with a VM that lost its disk`() {
            val simulation = simulation(3)
            simulation.nodes[1].start()
            simulation.nodes[1].loseDisk()
            simulation.nodes.take(2).forEach { it.start() }
            simulation.run(LONG_MS)
            assertEquals(listOf(null, null), simulation.nodes.take(2).map { it.status?.group })
        }
    }

    @Nested
    inner class OneFault {
        private val faults = mapOf<String, Simulation.(SimulatedNode) -> Unit>(
            "is killed" to { victim ->
                victim.crash()
                time.after(RESTART_MS) { victim.start() }
            },
            "is killed for good" to { victim -> victim.crash() },
            "loses its disk" to { victim ->
                victim.loseDisk()
                time.after(RESTART_MS) { victim.start() }
            },
            "freezes" to { victim -> victim.freeze(FREEZE_MS) },
            "is cut off" to { victim ->
                isolate(victim.vm)
                time.after(FREEZE_MS) { heal() }
            },
        )

        private fun runWithFault(
            count: Int,
            victims: List<Int>,
            atMs: Long,
            fault: Simulation.(SimulatedNode) -> Unit,
        ) {
            val simulation = simulation(count, seed = atMs.toInt() + 1, losses = victims.size)
            val record = GroupRecord(simulation)
            simulation.start()
            record.run(atMs)
            victims.forEach { simulation.fault(simulation.nodes[it]) }
            simulation.checkOneGroup(record)
            record.run(LONG_MS)
            assertEquals(1, record.groups.size, "Groups: ${record.groups}")
        }

        private fun tests(count: Int, victims: List<List<Int>>) = faults.flatMap { (name, fault) ->
            victims.map { set ->
                DynamicTest.dynamicTest("${set.map { "vm${it + 1}" }} $name") {
                    (0..PHASES).forEach { runWithFault(count, set, it * PHASE_MS, fault) }
                }
            }
        }

        @TestFactory
        fun `of one of three VMs at any moment leaves one group with a leader`() =
            tests(3, listOf(listOf(0), listOf(1), listOf(2)))

        @TestFactory
        fun `of two of six VMs at any moment leaves one group with a leader`() =
            tests(6, listOf(listOf(0, 1), listOf(0, 5), listOf(2, 3)))
    }

    @Nested
    inner class ManyFaults {
        private fun run(count: Int, seed: Int) {
            val simulation = simulation(count, seed)
            val record = GroupRecord(simulation)
            val random = Random(seed)
            simulation.lossyNetwork = true
            simulation.nodes.forEach { node -> simulation.time.after(random.nextLong(LONG_MS / 4)) { node.start() } }
            repeat(FAULTS) {
                record.run(random.nextLong(FAULT_INTERVAL_MS))
                // A VM that dies before its first write is equal to one that lost its disk, which only a minority may.
                val victim = simulation.nodes.filter { it.upMs > FIRST_WRITE_MS }.randomOrNull(random)
                if (victim != null) {
                    when (random.nextInt(5)) {
                        0 -> victim.crash().also { simulation.time.after(RESTART_MS) { victim.start() } }
                        1 -> victim.freeze(random.nextLong(FREEZE_MS))
                        2 -> simulation.isolate(victim.vm)
                        3 -> victim.failDisk()
                        else -> simulation.heal()
                    }
                }
            }
            simulation.heal()
            simulation.lossyNetwork = false
            simulation.nodes.forEach { it.folder.failAtOperation = Int.MAX_VALUE }
            simulation.nodes.forEach { it.start() }
            record.run(FREEZE_MS)
            simulation.checkOneGroup(record)
        }

        @TestFactory
        fun `of three VMs leave one group`() =
            (1..150).map { DynamicTest.dynamicTest("seed $it") { run(3, it) } }

        @TestFactory
        fun `of five VMs leave one group`() =
            (201..300).map { DynamicTest.dynamicTest("seed $it") { run(5, it) } }
    }

    private companion object {
        const val STEP_MS = 10L
        const val PHASE_MS = 40L
        const val PHASES = 60
        const val RESTART_MS = 500L
        const val FREEZE_MS = 3_000L
        const val SETTLE_MS = 3_000L
        const val LONG_MS = 8_000L
        const val FIRST_WRITE_MS = 50L
        const val FAULTS = 14
        const val FAULT_INTERVAL_MS = 500L

        /** `contact_ms` plus `max_skew_ms` of the smallest deployment is 8 s; a leader is needed well before that. */
        const val LEADER_BOUND_MS = 6_000L
    }
}
