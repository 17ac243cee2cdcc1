package gentiandale.cluster

import gentiandale.cluster.cell.CellMap
import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.KnownVm
import gentiandale.core.ModelId
import gentiandale.core.RegionId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.VmState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class CellMapTest {
    private val model = ModelId("chat-small")

    private fun vms(count: Int) = List(count) {
        val region = RegionId("r-${it % 4 / 2}")
        KnownVm(
            VmId("vm-$it"),
            DataCentreId("dc-${it % 4}"),
            region,
            Address("10.0.0.1", it + 1),
            Address("10.0.0.1", 1),
        )
    }

    private fun servers(count: Int, dataCentres: Int = 4) = List(count) {
        ServerFacts(
            server = ServerId("s-$it"),
            incarnation = Incarnation(1),
            address = Address("10.1.0.1", it + 1),
            dataCentre = DataCentreId("dc-${it % dataCentres}"),
            kind = if (it % 3 == 0) ServerKind.PREFILL else ServerKind.DECODE,
            model = model,
            places = 20,
        )
    }

    @Test
    fun `a small model has one cell per region and a larger one is divided`() {
        assertEquals(2, CellMap.of(vms(8), servers(128)).cells.size)
        assertEquals(4, CellMap.of(vms(8), servers(132)).cells.size)
        val large = CellMap.of(vms(8), servers(1_000))
        assertEquals(16, large.cells.size)
        assertEquals(1_000, large.cells.values.sumOf { it.servers.size })
    }

    @Test
    fun `the owner of a cell is in the data centre of the cell`() {
        val vms = vms(40)
        CellMap.of(vms, servers(1_000)).cells.values.forEach { cell ->
            assertEquals(cell.dataCentre, vms.single { it.vm == cell.owner }.dataCentre)
        }
    }

    @Test
    fun `only the cells of a failed owner get another owner`() {
        val vms = vms(40)
        val before = CellMap.of(vms, servers(4_000))
        val failed = before.cells.values.first().owner
        val after = CellMap.of(vms.map { if (it.vm == failed) it.copy(state = VmState.DEAD) else it }, servers(4_000))
        before.cells.forEach { (id, cell) ->
            val owner = after.cells.getValue(id).owner
            if (cell.owner == failed) assertNotEquals(failed, owner) else assertEquals(cell.owner, owner)
        }
    }

    @Test
    fun `the map does not depend on the order of VMs and servers`() {
        val one = CellMap.of(vms(40), servers(700))
        val other = CellMap.of(vms(40).reversed(), servers(700).reversed())
        assertEquals(one.cells, other.cells)
    }

    @Test
    fun `a VM of a wider scope owns a cell when no VM of its data centre is alive`() {
        val vms = vms(8).map { if (it.dataCentre == DataCentreId("dc-0")) it.copy(state = VmState.DEAD) else it }
        assertTrue(CellMap.of(vms, servers(1_000)).cells.values.all { it.owner != null })
    }
}
