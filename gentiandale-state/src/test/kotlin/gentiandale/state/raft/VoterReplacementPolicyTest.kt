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
    inner class VoterThatIsGone {
        @Test
        fun `a spare takes its place, and the next loss is borne after the time to catch up`() {
            val simulation = started()
            val lost = followers(simulation).first()
            lost.crash()
            simulation.run(CATCH_UP_MS)
            assertTrue(lost.vm !in voters(simulation) && voters(simulation).size == 3, "${voters(simulation)}")
            followers(simulation).first { it.vm in voters(simulation) }.crash()
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
        }

        @Test
        fun `a lost leader is replaced as well`() {
            val simulation = started()
            val lost = assertNotNull(simulation.leader())
            lost.crash()
            simulation.runUntil("three voters without the lost one", limitMs = 2 * CATCH_UP_MS) {
                simulation.leader() != null && lost.vm !in voters(simulation) && voters(simulation).size == 3
            }
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
        }

        @Test
        fun `without a spare nothing is removed`() {
            val simulation = started(spares = 0)
            followers(simulation).first().crash()
            simulation.run(LONG_MS)
            assertEquals(3, voters(simulation).size)
        }
    }

    @Nested
    inner class VoterThatIsCutOff {
        @Test
        fun `it comes back as a spare and can be taken again`() {
            val simulation = started()
            val cut = followers(simulation).first()
            simulation.isolate(cut.vm)
            simulation.run(CATCH_UP_MS)
            assertTrue(cut.vm !in voters(simulation))
            simulation.heal()
            simulation.run(LONG_MS)
            assertEquals(false, cut.status?.isLeader)
            followers(simulation).first { it.vm in voters(simulation) }.crash()
            simulation.runUntil("the one that was cut off is a voter") { cut.vm in voters(simulation) }
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
        }

        @Test
        fun `a leader that is cut off takes nothing afterwards`() {
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
    inner class AnyFaults {
        @TestFactory
        fun `histories stay linearizable`(): List<DynamicTest> = (1..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val simulation = started(seed = seed)
                simulation.faulty = true
                simulation.startOperators()
                repeat(DISTURBANCES) {
                    simulation.disturb()
                    simulation.run(PAUSE_MS)
                }
                simulation.settle()
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

        /** Time after which the platform may take the next voter. */
        const val CATCH_UP_MS = 4_000L
        const val SEEDS = 30
        const val DISTURBANCES = 25
        const val PAUSE_MS = 700L
    }
}
