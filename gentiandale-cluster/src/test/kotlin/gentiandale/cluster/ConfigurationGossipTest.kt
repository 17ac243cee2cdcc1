package gentiandale.cluster

import gentiandale.core.Configuration
import gentiandale.core.RecordId
import gentiandale.core.StoredRecord
import gentiandale.core.VmId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ConfigurationGossipTest {
    /** Accepts changes on one voter and checks that the revision never decreases on any VM. */
    private class Operator(val fleet: VirtualFleet) {
        private val latest = HashMap<VmId, Long>()
        var configuration = Configuration()
            private set

        fun change(name: String, delete: Boolean = false, at: VmId = fleet.vms[0], bodyBytes: Int = 200) {
            val id = RecordId("rank", name)
            val version = (configuration.find(id)?.version ?: 0) + 1
            val others = configuration.records.filter { it.id != id }
            val body = "x".repeat(bodyBytes)
            val records = if (delete) others else others + StoredRecord(id, 1, version, body)
            configuration = Configuration(configuration.revision + 1, records.sortedBy { it.id.name })
            fleet.net.runOn(at) { acceptConfiguration(configuration) }
        }

        fun isActive(vms: List<VmId> = fleet.vms): Boolean {
            fleet.vms.forEach { vm ->
                val revision = fleet.net.core(vm).revision
                assertTrue(revision >= (latest.put(vm, revision) ?: 0), "the revision of $vm decreased to $revision")
            }
            return vms.all { hasSameConfiguration(it) }
        }

        private fun hasSameConfiguration(vm: VmId): Boolean {
            val core = fleet.net.core(vm)
            if (core.revision != configuration.revision) return false
            assertEquals(versions(configuration), versions(core.configuration()), vm.toString())
            return true
        }

        private fun versions(of: Configuration) = of.records.map { "${it.id.name}:${it.version}" }.sorted()
    }

    private fun operator(size: Int, seed: Long = 1, loss: Double = 0.0) =
        Operator(VirtualFleet(seed, size, loss).apply { net.run(3_000) })

    @Nested
    inner class Change {
        @Test
        fun `is active on all VMs within 5 s`() {
            for ((size, seeds) in listOf(9 to 1L..5L, 50 to 1L..3L, 100 to 1L..2L, 410 to 1L..1L)) {
                for (seed in seeds) {
                    val operator = operator(size, seed, loss = 0.01)
                    repeat(3) {
                        operator.change("r$it")
                        assertNotNull(
                            operator.fleet.net.runUntil(5_000) {
                                operator.isActive()
                            },
                            "$size VMs, seed $seed",
                        )
                    }
                }
            }
        }

        @Test
        fun `of many records in a burst with deletions converges on all VMs`() {
            for (seed in VirtualFleet.SEEDS) {
                val operator = operator(size = 9, seed = seed, loss = 0.05)
                val random = Random(seed)
                repeat(200) {
                    operator.change("r${random.nextInt(30)}", delete = random.nextInt(4) == 0)
                    operator.fleet.net.run(random.nextLong(30))
                    operator.isActive()
                }
                assertNotNull(operator.fleet.net.runUntil(5_000) { operator.isActive() }, "seed $seed")
            }
        }

        @Test
        fun `of a record larger than a page reaches all VMs`() {
            val operator = operator(size = 9)
            repeat(12) { operator.change("r$it", bodyBytes = 5_000) }
            assertNotNull(operator.fleet.net.runUntil(5_000) { operator.isActive() })
        }
    }

    @Nested
    inner class Partition {
        @Test
        fun `leaves the last known configuration active and delivers the new one when it heals`() {
            for (seed in VirtualFleet.SEEDS) {
                val operator = operator(size = 12, seed = seed)
                val fleet = operator.fleet
                repeat(40) { operator.change("r$it") }
                fleet.net.runUntil(5_000) { operator.isActive() }
                val (left, right) = fleet.vms.chunked(6)
                left.forEach { l -> right.forEach { r -> fleet.net.cutBothWays(l, r) } }
                repeat(40) { operator.change("r$it", delete = it % 3 == 0) }
                fleet.net.run(30_000)
                assertTrue(right.all { fleet.net.core(it).revision == 40L })
                fleet.net.heal()
                val took = fleet.net.runUntil(10_000) { operator.isActive() }
                assertNotNull(took, "seed $seed")
            }
        }
    }

    @Nested
    inner class Restart {
        @Test
        fun `continues from the persisted configuration even if the first peer has an older one`() {
            val operator = operator(size = 9)
            val fleet = operator.fleet
            repeat(5) { operator.change("r$it") }
            fleet.net.runUntil(5_000) { operator.isActive() }
            val vm = fleet.vms[4]
            val persisted = fleet.net.core(vm).configurationState()
            fleet.net.kill(vm)
            val peers = fleet.rows.filter { it.vm != vm }
            fleet.net.add(ClusterCore(fleet.row(4, incarnation = 7), peers, Random(1), restored = persisted))
            assertEquals(5, fleet.net.core(vm).revision)
            val old = ClusterDatagram(fleet.vms[2], fleet.rows[2].incarnation, revision = 3)
            fleet.net.runOn(vm) { receive(it, old) }
            fleet.net.run(1_000)
            assertTrue(operator.isActive())
        }

        @Test
        fun `of a VM without a disk pulls the configuration again`() {
            val operator = operator(size = 9)
            val fleet = operator.fleet
            repeat(50) { operator.change("r$it") }
            fleet.net.runUntil(5_000) { operator.isActive() }
            val row = fleet.row(4, incarnation = 7)
            fleet.net.add(fleet.newCore(row))
            val took = fleet.net.runUntil(5_000) {
                fleet.net.core(row.vm).configuration() == operator.configuration
            }
            assertNotNull(took)
        }
    }

    @Nested
    inner class Gap {
        @Test
        fun `in the revisions that a voter accepted does not keep a deleted record on other VMs`() {
            val operator = operator(size = 2)
            val fleet = operator.fleet
            listOf("a", "b", "c").forEach { operator.change(it) }
            assertNotNull(fleet.net.runUntil(5_000) { operator.isActive() })
            fleet.net.add(fleet.newCore(fleet.row(0, incarnation = 7)))
            val later = Configuration(4, listOf(StoredRecord(RecordId("rank", "a"), 1, 1, "")))
            fleet.net.cut(fleet.vms[0], fleet.vms[1])
            fleet.net.runOn(fleet.vms[0]) { acceptConfiguration(later) }
            fleet.net.heal()
            assertNotNull(fleet.net.runUntil(5_000) { fleet.net.core(fleet.vms[1]).revision == 4L })
            assertEquals(listOf("a"), fleet.net.core(fleet.vms[1]).configuration().records.map { it.id.name })
        }
    }

    @Nested
    inner class Confirmation {
        @Test
        fun `reaches all VMs and ages during a partition`() {
            val operator = operator(size = 9)
            val fleet = operator.fleet
            val isolated = fleet.vms[8]
            assertNull(fleet.net.core(isolated).confirmedMs)
            operator.change("r")

            fun confirm(ms: Long) = repeat((ms / 500).toInt()) {
                fleet.net.core(fleet.vms[0]).recordConfirmation(fleet.net.now, 0)
                fleet.net.run(500)
            }
            confirm(20_000)
            fleet.vms.forEach { assertTrue(fleet.net.now - requireNotNull(fleet.net.core(it).confirmedMs) < 15_000) }
            fleet.vms.dropLast(1).forEach { fleet.net.cutBothWays(it, isolated) }
            confirm(30_000)
            assertTrue(fleet.net.now - requireNotNull(fleet.net.core(isolated).confirmedMs) >= 30_000)
        }
    }
}
