package gentiandale.cluster

import gentiandale.cluster.cell.CELLS
import gentiandale.cluster.cell.CELL_SUMMARIES
import gentiandale.core.Blackboard
import gentiandale.core.Board

/** Publishes the state of a [ClusterCore] on the [board]; parts that have not changed are skipped. */
internal class BlackboardPublisher(private val board: Blackboard) {
    private var vmsVersion = -1L
    private var cellsVersion = -1L

    fun publish(core: ClusterCore) {
        if (core.vmsVersion != vmsVersion) {
            vmsVersion = core.vmsVersion
            board[Board.VMS] = core.vms()
        }
        publishServers(core)
        if (core.cellsVersion != cellsVersion) {
            cellsVersion = core.cellsVersion
            board[CELLS] = core.cells()
        }
        board[CELL_SUMMARIES] = core.summaries()
    }

    private fun publishServers(core: ClusterCore) {
        val changed = core.drainChangedServers()
        if (changed.isEmpty()) return
        val servers = HashMap(board[Board.SERVERS])
        changed.forEach { (server, known) ->
            if (known == null) servers.remove(server) else servers[server] = known
        }
        board[Board.SERVERS] = servers
    }
}
