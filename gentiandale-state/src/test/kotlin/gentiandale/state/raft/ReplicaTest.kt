package gentiandale.state.raft

import gentiandale.core.OperationKey
import gentiandale.core.RecordId
import gentiandale.core.VmId
import gentiandale.state.RecordDraft
import gentiandale.state.StoreCommand
import gentiandale.state.StoreReply
import gentiandale.state.SubmitOutcome
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ReplicaTest {
    private fun started(voters: Int = 3, seed: Int = 1, spares: Int = 0) = Simulation(voters, seed, spares).also {
        it.start()
        it.runUntil("a leader") { it.leader() != null }
        it.run(SETTLE_MS)
    }

    private fun Simulation.write(name: String, node: SimulatedNode = assertNotNull(leader())): SubmitOutcome? {
        var outcome: SubmitOutcome? = null
        val draft = RecordDraft(RecordId("model", name), 1, 0, "kv-bytes-per-token: 1")
        node.submit(StoreCommand.ApplyRecords(OperationKey("key-$name"), listOf(draft), 0)) { outcome = it }
        run(SETTLE_MS)
        return outcome
    }

    private fun Simulation.allMembersAreVoters() = nodes.mapNotNull { it.status }.all { m ->
        m.membership.learners.isEmpty() && m.membership.voters.toSet() == nodes.mapNotNull { it.status?.self }.toSet()
    }

    @Nested
    inner class Bootstrap {
        @Test
        fun `does not bootstrap a group while an initial voter is missing`() {
            val simulation = Simulation(3, 1)
            simulation.nodes.drop(1).forEach { it.start() }
            simulation.run(LONG_MS)
            assertNull(simulation.leader())
            simulation.nodes.first().start()
            simulation.runUntil("a leader") { simulation.leader() != null }
        }

        @Test
        fun `does not bootstrap a second group when the founder lost its disk and one member is down`() {
            val simulation = started()
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
            val founder = simulation.nodes.first()
            simulation.nodes.drop(1).forEach { it.crash() }
            founder.loseDisk()
            founder.start()
            simulation.nodes[1].start()
            simulation.run(LONG_MS)
            assertEquals(emptyList(), founder.status?.membership?.voters)
            assertNull(simulation.leader())
        }
    }

    @Nested
    inner class Majority {
        @Test
        fun `commits with one of three voters down but not with two`() {
            val simulation = started()
            val leader = assertNotNull(simulation.leader())
            val followers = simulation.nodes - leader
            followers.first().crash()
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
            followers.last().crash()
            val uncertain = simulation.write("b", leader)
            assertTrue(uncertain == null || uncertain is SubmitOutcome.NotKnown)
            simulation.run(LONG_MS)
            assertIs<SubmitOutcome.NotAccepted>(simulation.write("c", leader))
        }

        @Test
        fun `elects a new leader while the old one is frozen, which then steps down`() {
            val simulation = started()
            val old = assertNotNull(simulation.leader())
            old.freeze(LONG_MS)
            simulation.runUntil("a new leader") { simulation.leader() != old }
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
            simulation.run(LONG_MS)
            assertEquals(false, old.status?.isLeader)
            assertEquals(1, old.configuration?.revision)
        }

        @Test
        fun `keeps leader and term when a partitioned voter returns`() {
            val simulation = started()
            val leader = assertNotNull(simulation.leader())
            simulation.isolate((simulation.nodes - leader).first().vm)
            simulation.run(LONG_MS)
            val term = leader.status?.term
            simulation.heal()
            simulation.run(LONG_MS)
            assertEquals(leader, simulation.leader())
            assertEquals(term, leader.status?.term)
        }
    }

    @Nested
    inner class LostDisk {
        @Test
        fun `readmits a voter that lost its disk as a new member and then survives the loss of a second disk`() {
            val simulation = started()
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
            val (first, second) = simulation.nodes - assertNotNull(simulation.leader())
            val old = assertNotNull(first.status).self
            first.loseDisk()
            first.start()
            simulation.runUntil("the repair") { simulation.allMembersAreVoters() }
            assertTrue(old !in assertNotNull(first.status).membership.all)
            second.loseDisk()
            assertIs<SubmitOutcome.Done>(simulation.write("b"))
            second.start()
            simulation.runUntil("the second repair") { simulation.allMembersAreVoters() }
            assertEquals(listOf(2L, 2L, 2L), simulation.nodes.map { it.configuration?.revision })
        }

        @Test
        fun `elects no leader from a lost disk and a lagging voter, which lack a committed change`() {
            val simulation = started()
            val leader = assertNotNull(simulation.leader())
            val (lagging, lost) = simulation.nodes - leader
            simulation.isolate(lagging.vm)
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
            simulation.heal()
            leader.crash()
            lost.loseDisk()
            lost.start()
            simulation.run(LONG_MS)
            assertNull(simulation.leader())
            leader.start()
            simulation.runUntil("the repair") { simulation.allMembersAreVoters() }
            assertEquals(listOf(1L, 1L, 1L), simulation.nodes.map { it.configuration?.revision })
        }
    }

    @Nested
    inner class Replacement {
        @Test
        fun `replaces a dead voter with a spare VM`() {
            val simulation = started(spares = 1)
            val leader = assertNotNull(simulation.leader())
            val dead = (simulation.nodes - leader).first { it.vm in simulation.initial }
            dead.loseDisk()
            var outcome: VoterOutcome? = null
            leader.replaceVoter(VoterReplacement(VmId("vm4"), dead.vm)) { outcome = it }
            simulation.run(LONG_MS)
            val members = assertIs<VoterOutcome.Done>(outcome).membership
            assertEquals((simulation.nodes - dead).map { it.vm }.toSet(), members.voters.map { it.vm }.toSet())
            assertIs<SubmitOutcome.Done>(simulation.write("a"))
        }

        @Test
        fun `rejects a VM that has not announced itself`() {
            val simulation = started()
            var outcome: VoterOutcome? = null
            simulation.leader()?.replaceVoter(VoterReplacement(VmId("nobody"), null)) { outcome = it }
            simulation.run(SETTLE_MS)
            assertIs<VoterOutcome.NotAccepted>(outcome)
        }

        @Test
        fun `brings a lagging voter up to date with a snapshot`() {
            val simulation = started()
            val lagging = (simulation.nodes - assertNotNull(simulation.leader())).first()
            lagging.crash()
            repeat(50) { assertIs<SubmitOutcome.Done>(simulation.write("m$it")) }
            lagging.start()
            simulation.runUntil("the same configuration") {
                lagging.configuration == simulation.leader()?.configuration
            }
            assertEquals(50, lagging.configuration?.revision)
        }
    }

    @Nested
    inner class Resend {
        @Test
        fun `gets the first reply from the next leader`() {
            val simulation = started()
            val first = assertIs<SubmitOutcome.Done>(simulation.write("a"))
            simulation.leader()?.crash()
            simulation.runUntil("a new leader") { simulation.leader() != null }
            simulation.run(SETTLE_MS)
            assertEquals(first, simulation.write("a"))
            assertIs<StoreReply.Accepted>(first.reply)
        }
    }

    @Nested
    inner class Histories {
        private fun run(voters: Int, seed: Int) {
            val simulation = started(voters, seed)
            simulation.startOperators()
            simulation.lossyNetwork = true
            repeat(FAULTS) {
                simulation.injectFault()
                simulation.run(FAULT_INTERVAL_MS)
            }
            simulation.recover()
            simulation.checkHistories()
            assertTrue(simulation.answeredWrites > 0, "No write was answered.")
        }

        private fun seeds(seeds: IntRange, voters: Int) =
            seeds.map { DynamicTest.dynamicTest("seed $it") { run(voters, it) } }

        @TestFactory
        fun `of three voters are linearizable under faults`() = seeds(1..40, voters = 3)

        @TestFactory
        fun `of five voters are linearizable under faults`() = seeds(101..120, voters = 5)
    }

    private companion object {
        const val SETTLE_MS = 1_000L
        const val LONG_MS = 6_000L
        const val FAULTS = 30
        const val FAULT_INTERVAL_MS = 700L
    }
}
