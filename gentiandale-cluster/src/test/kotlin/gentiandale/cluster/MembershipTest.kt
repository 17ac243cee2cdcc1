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
    private fun VirtualFleet.countObservations(vm: VmId, during: Long, state: VmState): Int {
        var count = 0
        repeat((during / STEP_MS).toInt()) {
            net.run(STEP_MS)
            count += vms.count { it != vm && it in net.running && stateAt(it, vm) == state }
        }
        return count
    }

    @Nested
    inner class Detection {
        @Test
        fun `a killed VM is marked dead on every VM within the time bound`() {
            for (seed in VirtualFleet.SEEDS) {
                for (size in listOf(9, 50)) {
                    val fleet = VirtualFleet(seed, size).apply { net.run(5_000) }
                    val killed = fleet.vms[3]
                    fleet.net.kill(killed)
                    val boundMs = 3_000 + ClusterTimes().suspicionMs(size) + 3_000
                    val took = fleet.net.runUntil(boundMs) {
                        fleet.net.running.all { fleet.stateAt(it, killed) == VmState.DEAD }
                    }
                    assertNotNull(took, "seed $seed size $size: not dead everywhere within $boundMs ms")
                }
            }
        }

        @Test
        fun `no VM is marked dead when a tenth of the datagrams is lost and no VM fails`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = VirtualFleet(seed, size = 20, loss = 0.1).apply { net.run(2_000) }
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
        fun `between two VMs does not get either marked dead`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = VirtualFleet(seed, size = 9).apply { net.run(5_000) }
                fleet.net.cut(fleet.vms[1], fleet.vms[2])
                assertEquals(0, fleet.countObservations(fleet.vms[2], 30_000, VmState.DEAD), "seed $seed")
                assertEquals(0, fleet.vms.count { fleet.stateAt(it, fleet.vms[1]) == VmState.DEAD }, "seed $seed")
            }
        }

        @Test
        fun `a VM that receives nothing does not get the others marked dead`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = VirtualFleet(seed, size = 9).apply { net.run(5_000) }
                val sendOnly = fleet.vms[4]
                fleet.vms.filter { it != sendOnly }.forEach { fleet.net.cut(it, sendOnly) }
                var wronglyDead = 0
                repeat(300) {
                    fleet.net.run(STEP_MS)
                    val others = fleet.vms.filter { it != sendOnly }
                    wronglyDead += others.sumOf { at -> others.count { fleet.stateAt(at, it) == VmState.DEAD } }
                }
                assertEquals(0, wronglyDead, "seed $seed")
            }
        }
    }

    @Nested
    inner class Pause {
        @Test
        fun `a resumed VM is alive again with a later incarnation and marks no VM dead`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = VirtualFleet(seed, size = 9).apply { net.run(5_000) }
                val paused = fleet.vms[2]
                val before = fleet.net.core(paused).self.incarnation
                fleet.net.pause(paused)
                fleet.net.run(30_000)
                assertTrue(fleet.net.running.all { fleet.stateAt(it, paused) == VmState.DEAD }, "seed $seed")
                fleet.net.resume(paused)
                val took = fleet.net.runUntil(10_000) {
                    assertTrue(fleet.vms.none { fleet.stateAt(paused, it) == VmState.DEAD }, "seed $seed")
                    fleet.vms.all { fleet.stateAt(it, paused) == VmState.ALIVE }
                }
                assertNotNull(took, "seed $seed")
                assertTrue(fleet.net.core(paused).self.incarnation > before, "seed $seed")
            }
        }

        @Test
        fun `a short pause of two VMs at once does not get either marked dead`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = VirtualFleet(seed, size = 9).apply { net.run(5_000) }
                listOf(fleet.vms[1], fleet.vms[2]).forEach { fleet.net.pause(it) }
                fleet.net.run(3_000)
                listOf(fleet.vms[1], fleet.vms[2]).forEach { fleet.net.resume(it) }
                assertEquals(0, fleet.countObservations(fleet.vms[1], 15_000, VmState.DEAD), "seed $seed")
                assertTrue(fleet.vms.all { at -> fleet.vms.all { fleet.stateAt(at, it) == VmState.ALIVE } })
            }
        }
    }

    @Nested
    inner class Suspicion {
        @Test
        fun `a report that a reachable VM is dead is not applied`() {
            val fleet = VirtualFleet(seed = 8, size = 9).apply { net.run(5_000) }
            val (observer, target, sender) = fleet.vms
            val falseReport = fleet.net.core(observer).vms().getValue(target).copy(state = VmState.DEAD).toMemberRow()
            val datagram = ClusterDatagram(sender, fleet.rows[2].incarnation, members = listOf(falseReport))
            fleet.net.runOn(observer) { receive(it, datagram) }
            assertEquals(VmState.ALIVE, fleet.stateAt(observer, target))
            assertEquals(0, fleet.countObservations(target, 10_000, VmState.DEAD))
        }

        @Test
        fun `a suspicion does not time out while the suspecting VM is paused`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = VirtualFleet(seed, size = 5).apply { net.run(5_000) }
                val (observer, target) = fleet.vms
                fleet.net.pause(target)
                fleet.net.runUntil(10_000) { fleet.stateAt(observer, target) == VmState.SUSPECT }
                fleet.net.pause(observer)
                fleet.vms.forEach { fleet.net.cut(it, observer) }
                fleet.net.resume(target)
                fleet.net.run(20_000)
                fleet.net.heal()
                fleet.net.resume(observer)
                assertTrue(fleet.stateAt(observer, target) != VmState.DEAD, "seed $seed")
                assertEquals(0, fleet.countObservations(target, 5_000, VmState.DEAD), "seed $seed")
                assertTrue(fleet.vms.all { fleet.stateAt(it, target) == VmState.ALIVE }, "seed $seed")
            }
        }
    }

    @Nested
    inner class Partition {
        @Test
        fun `both sides of a partition continue and merge after it heals`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = VirtualFleet(seed, size = 12).apply { net.run(5_000) }
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
        fun `a leaving VM is known as leaving on all VMs and stays so`() {
            val fleet = VirtualFleet(seed = 3, size = 50).apply { net.run(5_000) }
            val leaving = fleet.vms[7]
            fleet.net.runOn(leaving) { leave(it) }
            val took = fleet.net.runUntil(2_000) { fleet.vms.all { fleet.stateAt(it, leaving) == VmState.LEAVING } }
            assertNotNull(took)
            fleet.net.kill(leaving)
            fleet.net.run(20_000)
            assertTrue(fleet.net.running.all { fleet.stateAt(it, leaving) == VmState.LEAVING })
        }

        @Test
        fun `a VM that joins with one peer learns of all VMs and all learn of it`() {
            val fleet = VirtualFleet(seed = 5, size = 30).apply { net.run(5_000) }
            repeat(20) { fleet.announce(fleet.vms[1], fleet.facts("s-$it", port = 7_000 + it)) }
            val joining = fleet.row(30, incarnation = 9)
            fleet.net.add(ClusterCore(joining, listOf(fleet.rows[3]), Random(5)))
            val took = fleet.net.runUntil(5_000) {
                fleet.net.core(joining.vm).vms().size == 31 && fleet.vms.all { fleet.stateAt(it, joining.vm) != null }
            }
            assertNotNull(took)
            assertEquals(20, fleet.net.core(joining.vm).servers().size)
        }

        @Test
        fun `a VM that restarts at another address is known there on all VMs`() {
            val fleet = VirtualFleet(seed = 6, size = 9).apply { net.run(5_000) }
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
