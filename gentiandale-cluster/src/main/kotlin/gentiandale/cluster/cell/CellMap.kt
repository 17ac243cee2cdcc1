package gentiandale.cluster.cell

import gentiandale.cluster.mix
import gentiandale.cluster.stableHash
import gentiandale.core.BoardKey
import gentiandale.core.DataCentreId
import gentiandale.core.KnownVm
import gentiandale.core.ModelId
import gentiandale.core.RegionId
import gentiandale.core.ServerFacts
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.VmState

/**
 * Group of model servers whose requests are placed by one entry VM, its owner.
 *
 * @param owner VM that places requests on these servers; null if no VM is alive.
 */
public data class Cell(
    val id: CellId,
    val model: ModelId,
    val region: RegionId?,
    val dataCentre: DataCentreId?,
    val servers: List<ServerId>,
    val owner: VmId?,
)

/** Cells of all models and their owners. VMs with equal views of VMs and servers compute equal maps. */
public class CellMap internal constructor(public val cells: Map<CellId, Cell>, private val vms: VmScopes) {
    private val byServer: Map<ServerId, Cell> =
        cells.values.flatMap { cell -> cell.servers.map { it to cell } }.toMap()
    private val byModel: Map<ModelId, List<Cell>> = cells.values.groupBy { it.model }

    /** Returns the cell of [server], or null if it is in none. */
    public fun cellOf(server: ServerId): Cell? = byServer[server]

    /** Returns the cells of [model], those in [region] first. */
    public fun cellsOf(model: ModelId, region: RegionId? = null): List<Cell> =
        byModel[model].orEmpty().sortedByDescending { it.region == region }

    /** Returns the VM that receives the reports of the server with [facts]; null if no VM is alive. */
    public fun ownerOf(facts: ServerFacts): VmId? {
        val cell = byServer[facts.server]
        if (cell != null && cell.model == facts.model) return cell.owner
        return vms.owner("server/${facts.server}", vms.regionOf(facts.dataCentre), facts.dataCentre)
    }

    override fun toString(): String = cells.values.joinToString { "${it.id.value} at ${it.owner}" }

    /** Computes cell maps. */
    public companion object {
        /** Number of servers above which a cell is divided; uneven hashing can leave a shard with more. */
        public const val MAX_CELL_SERVERS: Int = 64

        /** Map without cells, used before any VM or server is known. */
        public val EMPTY: CellMap = CellMap(emptyMap(), VmScopes(emptyList()))

        /** Computes the map for [vms] and the live [servers]. */
        public fun of(vms: Collection<KnownVm>, servers: Collection<ServerFacts>): CellMap {
            val scopes = VmScopes(vms)
            val engines = servers.filter { it.kind != ServerKind.PLAIN && it.model != null }
            val cells = engines.groupBy { it.model to scopes.regionOf(it.dataCentre) }.flatMap { (key, members) ->
                val (model, region) = key
                cellsOfRegion(scopes, requireNotNull(model), region, members)
            }
            return CellMap(cells.associateBy { it.id }, scopes)
        }

        private fun cellsOfRegion(
            scopes: VmScopes,
            model: ModelId,
            region: RegionId?,
            members: List<ServerFacts>,
        ): List<Cell> {
            if (region != null && members.size <= MAX_CELL_SERVERS) {
                return listOf(cell(scopes, "$model@region/$region", model, region, null, members))
            }
            return members.groupBy { it.dataCentre }.flatMap { (dataCentre, local) ->
                cellsOfDataCentre(scopes, model, region, dataCentre, local)
            }
        }

        private fun cellsOfDataCentre(
            scopes: VmScopes,
            model: ModelId,
            region: RegionId?,
            dataCentre: DataCentreId,
            members: List<ServerFacts>,
        ): List<Cell> {
            val name = "$model@dc/$dataCentre"
            val shards = shardCount(members.size)
            if (shards == 1) return listOf(cell(scopes, name, model, region, dataCentre, members))
            return members.groupBy { stableHash(it.server.value).mod(shards) }.map { (shard, shardServers) ->
                cell(scopes, "$name/$shard.$shards", model, region, dataCentre, shardServers)
            }
        }

        private fun shardCount(servers: Int): Int {
            val minShards = (servers + MAX_CELL_SERVERS - 1) / MAX_CELL_SERVERS
            var shards = 1
            while (shards < minShards) shards *= 2
            return shards
        }

        private fun cell(
            scopes: VmScopes,
            name: String,
            model: ModelId,
            region: RegionId?,
            dataCentre: DataCentreId?,
            members: List<ServerFacts>,
        ): Cell {
            val servers = members.map { it.server }.sorted()
            return Cell(CellId(name), model, region, dataCentre, servers, scopes.owner(name, region, dataCentre))
        }
    }
}

/** Cells that this VM computes from [gentiandale.core.Board.VMS] and [gentiandale.core.Board.SERVERS]. */
public val CELLS: BoardKey<CellMap> = BoardKey("cells", CellMap.EMPTY)

/** Alive VMs by region and data centre, the scopes of a cell. */
internal class VmScopes(vms: Collection<KnownVm>) {
    private val regions = vms.associate { it.dataCentre to it.region }
    private val alive = vms.filter { it.state == VmState.ALIVE }.map { it to stableHash(it.vm.value) }
    private val byRegion = alive.groupBy { it.first.region }
    private val byDataCentre = alive.groupBy { it.first.dataCentre }

    fun regionOf(dataCentre: DataCentreId): RegionId? = regions[dataCentre]

    /** Returns the VM with the highest rendezvous hash for [name] in the narrowest scope that has an alive VM. */
    fun owner(name: String, region: RegionId?, dataCentre: DataCentreId?): VmId? {
        val candidates = dataCentre?.let { byDataCentre[it] } ?: region?.let { byRegion[it] } ?: alive
        val seed = stableHash(name)
        return candidates.maxWithOrNull(compareBy({ mix(it.second xor seed) }, { it.first.vm }))
            ?.first?.vm
    }
}
