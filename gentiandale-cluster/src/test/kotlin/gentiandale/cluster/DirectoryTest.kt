package gentiandale.cluster

import gentiandale.cluster.directory.AnnounceReply
import gentiandale.cluster.directory.ServerRow
import gentiandale.core.Announcement
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.VmId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class DirectoryTest {
    private val server = ServerId("s-1")

    private fun VirtualFleet.factsAt(at: VmId): ServerFacts? = net.core(at).servers()[server]?.facts

    private fun VirtualFleet.replyTo(at: VmId, facts: ServerFacts): AnnounceReply {
        var reply: AnnounceReply? = null
        net.runOn(at) { now -> announce(now, Announcement(facts)).also { reply = it.first }.second }
        return requireNotNull(reply)
    }

    private fun fleet(size: Int = 9, seed: Long = 1, loss: Double = 0.0) =
        VirtualFleet(seed, size, loss).apply { net.run(5_000) }

    @Nested
    inner class Announcing {
        @Test
        fun `reaches every VM and every VM names the same owner`() {
            for (size in listOf(9, 50, 100)) {
                val fleet = fleet(size)
                fleet.announce(fleet.vms[1], fleet.facts("s-1"))
                assertNotNull(fleet.net.runUntil(2_000) { fleet.vms.all { fleet.factsAt(it) != null } }, "size $size")
                val owners = fleet.vms.map { fleet.replyTo(it, fleet.facts("s-1")) }.distinct()
                assertEquals(1, owners.size, "size $size")
            }
        }

        @Test
        fun `is refused for another address in the same incarnation while the server is live`() {
            val fleet = fleet()
            fleet.announce(fleet.vms[1], fleet.facts("s-1"))
            fleet.net.run(1_000)
            val reply = assertIs<AnnounceReply.Refused>(fleet.replyTo(fleet.vms[4], fleet.facts("s-1", port = 7_001)))
            assertEquals(listOf("facts.address"), reply.findings.map { it.place.field })
        }

        @Test
        fun `is refused for an earlier incarnation and accepted for a later one`() {
            val fleet = fleet()
            fleet.announce(fleet.vms[1], fleet.facts("s-1", incarnation = 5))
            assertIs<AnnounceReply.Refused>(fleet.replyTo(fleet.vms[1], fleet.facts("s-1", incarnation = 4)))
            val later = fleet.facts("s-1", incarnation = 6, port = 7_009)
            assertIs<AnnounceReply.Accepted>(fleet.replyTo(fleet.vms[2], later))
            fleet.net.run(2_000)
            assertTrue(fleet.vms.all { fleet.factsAt(it) == later })
        }

        @Test
        fun `of two addresses to two VMs at once converges to one address on all VMs`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = fleet(seed = seed)
                fleet.announce(fleet.vms[1], fleet.facts("s-1", port = 7_001))
                fleet.announce(fleet.vms[2], fleet.facts("s-1", port = 7_002))
                fleet.net.run(2_500)
                assertEquals(1, fleet.vms.map { fleet.factsAt(it) }.distinct().size, "seed $seed")
            }
        }
    }

    @Nested
    inner class Merge {
        @Test
        fun `does not depend on the order of the rows`() {
            val fleet = VirtualFleet(seed = 1, size = 1)
            val random = Random(1)

            fun row(): ServerRow {
                val port = 7_000 + random.nextInt(2)
                val facts = fleet.facts("s-1", random.nextLong(2), port, leaving = random.nextInt(3) == 0)
                return ServerRow(facts, random.nextLong(2), gone = random.nextInt(3) == 0)
            }
            repeat(2_000) {
                val (a, b, c) = List(3) { row() }
                assertEquals(a.merge(b), b.merge(a), "$a and $b")
                assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)), "$a, $b and $c")
            }
        }
    }

    @Nested
    inner class Leaving {
        @Test
        fun `is known on every VM within 2 s with 2 percent of datagrams lost`() {
            for (seed in VirtualFleet.SEEDS) {
                for (size in listOf(9, 50, 100)) {
                    val fleet = fleet(size, seed, loss = 0.02)
                    fleet.runWithReports(2_000, fleet.facts("s-1"))
                    fleet.announce(fleet.vms[3], fleet.facts("s-1", leaving = true))
                    val took = fleet.net.runUntil(2_000) { fleet.vms.all { fleet.factsAt(it)?.leaving != false } }
                    assertNotNull(took, "seed $seed size $size")
                }
            }
        }

        @Test
        fun `is final within an incarnation`() {
            val fleet = fleet()
            fleet.announce(fleet.vms[3], fleet.facts("s-1"))
            fleet.net.run(1_000)
            fleet.announce(fleet.vms[3], fleet.facts("s-1", leaving = true))
            repeat(2) { fleet.announce(fleet.vms[4], fleet.facts("s-1").copy(places = 21 + it)) }
            fleet.net.run(1_000)
            fleet.runWithReports(2_000, fleet.facts("s-1"))
            assertTrue(fleet.vms.all { fleet.factsAt(it)?.leaving == true })
            fleet.runWithReports(1_500, fleet.facts("s-1", incarnation = 2))
            assertTrue(fleet.vms.all { fleet.factsAt(it)?.leaving == false })
        }
    }

    @Nested
    inner class Silence {
        @Test
        fun `first shows a server as leaving and then removes it on all VMs`() {
            val fleet = fleet()
            fleet.runWithReports(3_000, fleet.facts("s-1"))
            val owner = fleet.ownerOf(fleet.facts("s-1"))
            fleet.net.run(1_300)
            assertEquals(true, fleet.factsAt(owner)?.leaving)
            assertNotNull(fleet.net.runUntil(4_000) { fleet.vms.all { fleet.factsAt(it) == null } })
        }

        @Test
        fun `during a pause of the owner does not mark its servers as gone`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = fleet(seed = seed)
                fleet.runWithReports(3_000, fleet.facts("s-1"))
                val owner = fleet.ownerOf(fleet.facts("s-1"))
                fleet.net.pause(owner)
                fleet.vms.forEach { fleet.net.cut(it, owner) }
                fleet.runWithReports(15_000, fleet.facts("s-1"))
                fleet.net.resume(owner)
                fleet.net.run(200)
                assertNotNull(fleet.factsAt(owner), "seed $seed")
            }
        }

        @Test
        fun `of a dead owner does not remove its servers, which get a new owner`() {
            for (seed in VirtualFleet.SEEDS) {
                val fleet = fleet(seed = seed)
                val facts = fleet.facts("s-1")
                fleet.runWithReports(2_000, facts)
                val owner = fleet.ownerOf(facts)
                fleet.net.kill(owner)
                repeat(30) {
                    fleet.runWithReports(500, facts)
                    assertTrue(fleet.net.running.all { fleet.factsAt(it) != null }, "seed $seed")
                }
                assertTrue(fleet.ownerOf(facts) != owner)
            }
        }
    }

    @Nested
    inner class Comparison {
        @Test
        fun `brings a VM up to date after a partition`() {
            val fleet = fleet()
            val isolated = fleet.vms[5]
            fleet.vms.filter { it != isolated }.forEach { fleet.net.cutBothWays(it, isolated) }
            fleet.announce(fleet.vms[1], fleet.facts("s-1"))
            fleet.net.run(2_000)
            fleet.net.heal()
            val took = fleet.net.runUntil(40_000, stepMs = 500) {
                fleet.announce(fleet.ownerOf(fleet.facts("s-1")), fleet.facts("s-1"))
                fleet.factsAt(isolated) != null
            }
            assertNotNull(took)
        }
    }
}
