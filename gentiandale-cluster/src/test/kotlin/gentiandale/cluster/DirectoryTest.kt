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

    private fun Fleet.shown(at: VmId): ServerFacts? = net.core(at).servers()[server]?.facts

    private fun Fleet.reply(at: VmId, facts: ServerFacts): AnnounceReply {
        var reply: AnnounceReply? = null
        net.runOn(at) { now -> announce(now, Announcement(facts)).also { reply = it.first }.second }
        return requireNotNull(reply)
    }

    private fun fleet(size: Int = 9, seed: Long = 1, loss: Double = 0.0) =
        Fleet(seed, size, loss).apply { net.run(5_000) }

    @Nested
    inner class Announcing {
        @Test
        fun `spreads the facts to all and names the owner on every VM alike`() {
            for (size in listOf(9, 50, 100)) {
                val fleet = fleet(size)
                fleet.announce(fleet.vms[1], fleet.facts("s-1"))
                assertNotNull(fleet.net.runUntil(2_000) { fleet.vms.all { fleet.shown(it) != null } }, "size $size")
                val owners = fleet.vms.map { fleet.reply(it, fleet.facts("s-1")) }.distinct()
                assertEquals(1, owners.size, "size $size")
            }
        }

        @Test
        fun `refuses another address of the same life while the first is live`() {
            val fleet = fleet()
            fleet.announce(fleet.vms[1], fleet.facts("s-1"))
            fleet.net.run(1_000)
            val reply = assertIs<AnnounceReply.Refused>(fleet.reply(fleet.vms[4], fleet.facts("s-1", port = 7_001)))
            assertEquals(listOf("facts.address"), reply.findings.map { it.place.field })
        }

        @Test
        fun `refuses an earlier life and takes a later one`() {
            val fleet = fleet()
            fleet.announce(fleet.vms[1], fleet.facts("s-1", incarnation = 5))
            assertIs<AnnounceReply.Refused>(fleet.reply(fleet.vms[1], fleet.facts("s-1", incarnation = 4)))
            val later = fleet.facts("s-1", incarnation = 6, port = 7_009)
            assertIs<AnnounceReply.Accepted>(fleet.reply(fleet.vms[2], later))
            fleet.net.run(2_000)
            assertTrue(fleet.vms.all { fleet.shown(it) == later })
        }

        @Test
        fun `of two addresses told to two VMs at once all keep the same one`() {
            for (seed in Fleet.SEEDS) {
                val fleet = fleet(seed = seed)
                fleet.announce(fleet.vms[1], fleet.facts("s-1", port = 7_001))
                fleet.announce(fleet.vms[2], fleet.facts("s-1", port = 7_002))
                fleet.net.run(2_500)
                assertEquals(1, fleet.vms.map { fleet.shown(it) }.distinct().size, "seed $seed")
            }
        }
    }

    @Nested
    inner class Merge {
        @Test
        fun `does not depend on the order`() {
            val fleet = Fleet(seed = 1, size = 1)
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
        fun `is known on every VM within 2 s even when some datagrams are lost`() {
            for (seed in Fleet.SEEDS) {
                for (size in listOf(9, 50, 100)) {
                    val fleet = fleet(size, seed, loss = 0.02)
                    fleet.runReporting(2_000, fleet.facts("s-1"))
                    fleet.announce(fleet.vms[3], fleet.facts("s-1", leaving = true))
                    val took = fleet.net.runUntil(2_000) { fleet.vms.all { fleet.shown(it)?.leaving != false } }
                    assertNotNull(took, "seed $seed size $size")
                }
            }
        }

        @Test
        fun `is final for one life`() {
            val fleet = fleet()
            fleet.announce(fleet.vms[3], fleet.facts("s-1"))
            fleet.net.run(1_000)
            fleet.announce(fleet.vms[3], fleet.facts("s-1", leaving = true))
            repeat(2) { fleet.announce(fleet.vms[4], fleet.facts("s-1").copy(places = 21 + it)) }
            fleet.net.run(1_000)
            fleet.runReporting(2_000, fleet.facts("s-1"))
            assertTrue(fleet.vms.all { fleet.shown(it)?.leaving == true })
            fleet.runReporting(1_500, fleet.facts("s-1", incarnation = 2))
            assertTrue(fleet.vms.all { fleet.shown(it)?.leaving == false })
        }
    }

    @Nested
    inner class Silence {
        @Test
        fun `hides a server from new work first and ends in gone on all VMs`() {
            val fleet = fleet()
            fleet.runReporting(3_000, fleet.facts("s-1"))
            val owner = fleet.ownerOf(fleet.facts("s-1"))
            fleet.net.run(1_300)
            assertEquals(true, fleet.shown(owner)?.leaving)
            assertNotNull(fleet.net.runUntil(4_000) { fleet.vms.all { fleet.shown(it) == null } })
        }

        @Test
        fun `of a VM that was frozen does not make its servers gone`() {
            for (seed in Fleet.SEEDS) {
                val fleet = fleet(seed = seed)
                fleet.runReporting(3_000, fleet.facts("s-1"))
                val owner = fleet.ownerOf(fleet.facts("s-1"))
                fleet.net.freeze(owner)
                fleet.vms.forEach { fleet.net.cut(it, owner) }
                fleet.runReporting(15_000, fleet.facts("s-1"))
                fleet.net.thaw(owner)
                fleet.net.run(200)
                assertNotNull(fleet.shown(owner), "seed $seed")
            }
        }

        @Test
        fun `a server whose owner died is kept and gets a new owner`() {
            for (seed in Fleet.SEEDS) {
                val fleet = fleet(seed = seed)
                val facts = fleet.facts("s-1")
                fleet.runReporting(2_000, facts)
                val owner = fleet.ownerOf(facts)
                fleet.net.kill(owner)
                repeat(30) {
                    fleet.runReporting(500, facts)
                    assertTrue(fleet.net.running.all { fleet.shown(it) != null }, "seed $seed")
                }
                assertTrue(fleet.ownerOf(facts) != owner)
            }
        }
    }

    @Nested
    inner class Comparison {
        @Test
        fun `gives a VM that was cut off what it missed`() {
            val fleet = fleet()
            val lone = fleet.vms[5]
            fleet.vms.filter { it != lone }.forEach { fleet.net.cutBothWays(it, lone) }
            fleet.announce(fleet.vms[1], fleet.facts("s-1"))
            fleet.net.run(2_000)
            fleet.net.heal()
            val took = fleet.net.runUntil(40_000, stepMs = 500) {
                fleet.announce(fleet.ownerOf(fleet.facts("s-1")), fleet.facts("s-1"))
                fleet.shown(lone) != null
            }
            assertNotNull(took)
        }
    }
}
