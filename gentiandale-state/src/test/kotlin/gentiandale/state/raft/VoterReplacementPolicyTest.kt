package gentiandale.state.raft

import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.VmId
import gentiandale.state.RecordDraft
import gentiandale.state.StoreCommand
import gentiandale.state.SubmitOutcome
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class VoterReplacementPolicyTest {
    @Nested
    inner class LostVoter {
        @Test
        fun `is replaced by a spare in time to survive the loss of a second voter`() {
            val simulation = started()
            val lost = followers(simulation).first()
            lost.crash()
            simulation.run(REPLACEMENT_MS)
            assertTrue(lost.vm !in voters(simulation) && voters(simulation).size == 3, "${voters(simulation)}")
            followers(simulation).first { it.vm in voters(simulation) }.crash()
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
        }

        @Test
        fun `is replaced if it was the leader`() {
            val simulation = started()
            val lost = assertNotNull(simulation.leader())
            lost.crash()
            simulation.runUntil("three voters without the lost one", timeoutMs = 2 * REPLACEMENT_MS) {
                simulation.leader() != null && lost.vm !in voters(simulation) && voters(simulation).size == 3
            }
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
        }

        @Test
        fun `is not removed without a spare`() {
            val simulation = started(spares = 0)
            followers(simulation).first().crash()
            simulation.run(LONG_MS)
            assertEquals(3, voters(simulation).size)
        }
    }

    @Nested
    inner class PartitionedVoter {
        @Test
        fun `returns as a spare and can become a voter again`() {
            val simulation = started()
            val cut = followers(simulation).first()
            simulation.isolate(cut.vm)
            simulation.run(REPLACEMENT_MS)
            assertTrue(cut.vm !in voters(simulation))
            simulation.heal()
            simulation.run(LONG_MS)
            assertEquals(false, cut.status?.isLeader)
            followers(simulation).first { it.vm in voters(simulation) }.crash()
            simulation.runUntil("the partitioned VM is a voter again") { cut.vm in voters(simulation) }
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
        }

        @Test
        fun `steps down if it was the leader`() {
            val simulation = started()
            val old = assertNotNull(simulation.leader())
            simulation.isolate(old.vm)
            simulation.runUntil("another leader") { simulation.leader() != old }
            simulation.run(LONG_MS)
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
            simulation.heal()
            simulation.run(LONG_MS)
            assertEquals(false, old.status?.isLeader)
        }
    }

    @Nested
    inner class RandomFaults {
        @TestFactory
        fun `histories stay linearizable`(): List<DynamicTest> = (1..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val simulation = started(seed = seed)
                simulation.lossyNetwork = true
                simulation.startOperators()
                repeat(FAULTS) {
                    simulation.injectFault()
                    simulation.run(FAULT_INTERVAL_MS)
                }
                simulation.recover()
                simulation.checkHistories()
            }
        }
    }

    private fun started(seed: Int = 1, spares: Int = 1) =
        Simulation(3, seed, spares, VoterReplacementPolicy(target = 3)).also {
            it.start()
            it.runUntil("a leader") { it.leader() != null }
            it.run(SETTLE_MS)
        }

    private fun voters(simulation: Simulation): List<VmId> =
        assertNotNull(simulation.leader()).status?.membership?.voters.orEmpty().map { it.vm }

    private fun followers(simulation: Simulation): List<SimulatedNode> =
        simulation.nodes.filter { it.isUp && it != simulation.leader() && it.vm in voters(simulation) }

    private fun Simulation.write(name: String): SubmitOutcome? {
        var outcome: SubmitOutcome? = null
        runUntil("a leader") { leader() != null }
        val draft = RecordDraft(RecordId("model", name), 1, 0, "kv-bytes-per-token: 1")
        assertNotNull(leader()).submit(StoreCommand.ApplyRecords(OperationKey("key-$name"), listOf(draft), 0)) {
            outcome = it
        }
        run(SETTLE_MS)
        return outcome
    }

    private companion object {
        const val SETTLE_MS = 1_000L
        const val LONG_MS = 10_000L

        /** Time after which the platform may take down the next voter. */
        const val REPLACEMENT_MS = 4_000L
        const val SEEDS = 30
        const val FAULTS = 25
        const val FAULT_INTERVAL_MS = 700L
    }
}
