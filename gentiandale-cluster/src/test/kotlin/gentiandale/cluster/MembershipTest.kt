package gentiandale.cluster

import gentiandale.cluster.member.toMemberRow
import gentiandale.core.Address
import gentiandale.core.VmId
import gentiandale.core.VmState
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class MembershipTest {
    private fun Fleet.verdictsOn(vm: VmId, during: Long, state: VmState): Int {
        var seen = 0
        repeat((during / STEP_MS).toInt()) {
            net.run(STEP_MS)
            seen += vms.count { it != vm && it in net.running && stateAt(it, vm) == state }
        }
        return seen
    }

    @Nested
    inner class Detection {
        @Test
        fun `a killed VM is dead everywhere within the bound`() {
            for (seed in Fleet.SEEDS) {
                for (size in listOf(9, 50)) {
                    val fleet = Fleet(seed, size).apply { net.run(5_000) }
                    val victim = fleet.vms[3]
                    fleet.net.kill(victim)
                    val bound = 3_000 + ClusterTimes().suspicionMs(size) + 3_000
                    val took = fleet.net.runUntil(bound) {
                        fleet.net.running.all { fleet.stateAt(it, victim) == VmState.DEAD }
                    }
                    assertNotNull(took, "seed $seed size $size: not dead everywhere within $bound ms")
                }
            }
        }

        @Test
        fun `nobody is taken for dead while nothing fails and a tenth is lost`() {
            for (seed in Fleet.SEEDS) {
                val fleet = Fleet(seed, size = 20, loss = 0.1).apply { net.run(2_000) }
                var dead = 0
                repeat(600) {
                    fleet.net.run(STEP_MS)
                    dead += fleet.vms.sumOf { at -> fleet.vms.count { fleet.stateAt(at, it) == VmState.DEAD } }
                }
                assertEquals(0, dead, "seed $seed")
            }
        }
    }

    @Nested
    inner class OneWayCut {
        @Test
        fun `between two VMs leaves both alive everywhere`() {
            for (seed in Fleet.SEEDS) {
                val fleet = Fleet(seed, size = 9).apply { net.run(5_000) }
                fleet.net.cut(fleet.vms[1], fleet.vms[2])
                assertEquals(0, fleet.verdictsOn(fleet.vms[2], 30_000, VmState.DEAD), "seed $seed")
                assertEquals(0, fleet.vms.count { fleet.stateAt(it, fleet.vms[1]) == VmState.DEAD }, "seed $seed")
            }
        }

        @Test
        fun `a VM that hears nothing does not talk the others dead`() {
            for (seed in Fleet.SEEDS) {
                val fleet = Fleet(seed, size = 9).apply { net.run(5_000) }
                val deaf = fleet.vms[4]
                fleet.vms.filter { it != deaf }.forEach { fleet.net.cut(it, deaf) }
                var falseDeaths = 0
                repeat(300) {
                    fleet.net.run(STEP_MS)
                    val others = fleet.vms.filter { it != deaf }
                    falseDeaths += others.sumOf { at -> others.count { fleet.stateAt(at, it) == VmState.DEAD } }
                }
                assertEquals(0, falseDeaths, "seed $seed")
            }
        }
    }

    @Nested
    inner class Freeze {
        @Test
        fun `a VM that thaws is alive again with a later incarnation and takes nobody for dead`() {
            for (seed in Fleet.SEEDS) {
                val fleet = Fleet(seed, size = 9).apply { net.run(5_000) }
                val frozen = fleet.vms[2]
                val before = fleet.net.core(frozen).self.incarnation
                fleet.net.freeze(frozen)
                fleet.net.run(30_000)
                assertTrue(fleet.net.running.all { fleet.stateAt(it, frozen) == VmState.DEAD }, "seed $seed")
                fleet.net.thaw(frozen)
                val took = fleet.net.runUntil(10_000) {
                    assertTrue(fleet.vms.none { fleet.stateAt(frozen, it) == VmState.DEAD }, "seed $seed")
                    fleet.vms.all { fleet.stateAt(it, frozen) == VmState.ALIVE }
                }
                assertNotNull(took, "seed $seed")
                assertTrue(fleet.net.core(frozen).self.incarnation > before, "seed $seed")
            }
        }

        @Test
        fun `a short freeze of two VMs at once kills neither`() {
            for (seed in Fleet.SEEDS) {
                val fleet = Fleet(seed, size = 9).apply { net.run(5_000) }
                listOf(fleet.vms[1], fleet.vms[2]).forEach { fleet.net.freeze(it) }
                fleet.net.run(3_000)
                listOf(fleet.vms[1], fleet.vms[2]).forEach { fleet.net.thaw(it) }
                assertEquals(0, fleet.verdictsOn(fleet.vms[1], 15_000, VmState.DEAD), "seed $seed")
                assertTrue(fleet.vms.all { at -> fleet.vms.all { fleet.stateAt(at, it) == VmState.ALIVE } })
            }
        }
    }

    @Nested
    inner class Verdict {
        @Test
        fun `a claim that a reachable VM is dead is not believed`() {
            val fleet = Fleet(seed = 8, size = 9).apply { net.run(5_000) }
            val (judge, accused, liar) = fleet.vms
            val claim = fleet.net.core(judge).vms().getValue(accused).copy(state = VmState.DEAD).toMemberRow()
            val datagram = ClusterDatagram(liar, fleet.rows[2].incarnation, members = listOf(claim))
            fleet.net.runOn(judge) { receive(it, datagram) }
            assertEquals(VmState.ALIVE, fleet.stateAt(judge, accused))
            assertEquals(0, fleet.verdictsOn(accused, 10_000, VmState.DEAD))
        }

        @Test
        fun `a suspicion does not run out while the one who suspects is frozen`() {
            for (seed in Fleet.SEEDS) {
                val fleet = Fleet(seed, size = 5).apply { net.run(5_000) }
                val (judge, accused) = fleet.vms
                fleet.net.freeze(accused)
                fleet.net.runUntil(10_000) { fleet.stateAt(judge, accused) == VmState.SUSPECT }
                fleet.net.freeze(judge)
                fleet.vms.forEach { fleet.net.cut(it, judge) }
                fleet.net.thaw(accused)
                fleet.net.run(20_000)
                fleet.net.heal()
                fleet.net.thaw(judge)
                assertTrue(fleet.stateAt(judge, accused) != VmState.DEAD, "seed $seed")
                assertEquals(0, fleet.verdictsOn(accused, 5_000, VmState.DEAD), "seed $seed")
                assertTrue(fleet.vms.all { fleet.stateAt(it, accused) == VmState.ALIVE }, "seed $seed")
            }
        }
    }

    @Nested
    inner class Cut {
        @Test
        fun `both sides go on and are one again after it heals`() {
            for (seed in Fleet.SEEDS) {
                val fleet = Fleet(seed, size = 12).apply { net.run(5_000) }
                val (left, right) = fleet.vms.chunked(6)
                left.forEach { l -> right.forEach { r -> fleet.net.cutBothWays(l, r) } }
                fleet.net.run(40_000)
                assertTrue(left.all { at -> right.all { fleet.stateAt(at, it) == VmState.DEAD } }, "seed $seed")
                fleet.net.heal()
                val took = fleet.net.runUntil(20_000) {
                    fleet.vms.all { at -> fleet.vms.all { fleet.stateAt(at, it) == VmState.ALIVE } }
                }
                assertNotNull(took, "seed $seed")
            }
        }
    }

    @Nested
    inner class Change {
        @Test
        fun `a VM that leaves is known as leaving and stays so`() {
            val fleet = Fleet(seed = 3, size = 50).apply { net.run(5_000) }
            val leaver = fleet.vms[7]
            fleet.net.runOn(leaver) { leave(it) }
            val took = fleet.net.runUntil(2_000) { fleet.vms.all { fleet.stateAt(it, leaver) == VmState.LEAVING } }
            assertNotNull(took)
            fleet.net.kill(leaver)
            fleet.net.run(20_000)
            assertTrue(fleet.net.running.all { fleet.stateAt(it, leaver) == VmState.LEAVING })
        }

        @Test
        fun `a VM that knows one peer learns of all and is learnt of`() {
            val fleet = Fleet(seed = 5, size = 30).apply { net.run(5_000) }
            repeat(20) { fleet.announce(fleet.vms[1], fleet.facts("s-$it", port = 7_000 + it)) }
            val joiner = fleet.row(30, incarnation = 9)
            fleet.net.add(ClusterCore(joiner, listOf(fleet.rows[3]), Random(5)))
            val took = fleet.net.runUntil(5_000) {
                fleet.net.core(joiner.vm).vms().size == 31 && fleet.vms.all { fleet.stateAt(it, joiner.vm) != null }
            }
            assertNotNull(took)
            assertEquals(20, fleet.net.core(joiner.vm).servers().size)
        }

        @Test
        fun `a VM that restarts at another address is found there`() {
            val fleet = Fleet(seed = 6, size = 9).apply { net.run(5_000) }
            val moved = fleet.row(2, incarnation = 50).copy(peer = Address("10.9.9.9", 1))
            fleet.net.add(fleet.newCore(moved))
            fleet.net.run(10_000)
            fleet.vms.forEach { assertEquals(moved.peer, fleet.net.core(it).vms()[moved.vm]?.peer) }
            assertNull(fleet.vms.find { fleet.stateAt(it, moved.vm) != VmState.ALIVE })
        }
    }

    private companion object {
        const val STEP_MS = 100L
    }
}
