package gentiandale.daemon

import com.linecorp.armeria.server.ServerBuilder
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.Clock
import gentiandale.daemon.http.HistoryService
import gentiandale.daemon.http.RecordsService
import gentiandale.daemon.http.VotersService
import gentiandale.daemon.settings.Settings
import gentiandale.state.RaftStore
import gentiandale.state.ReplicatedStore
import gentiandale.state.StoreOpenResult
import gentiandale.state.log.DiskFolder
import gentiandale.wire.PeerNode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.io.IOException
import kotlin.io.path.Path

/**
 * The store of one daemon with its HTTP services.
 *
 * @param agreed the [store] if it is agreed on with other VMs; null for a store of this process alone.
 */
internal class StateParts(
    val store: ReplicatedStore,
    private val board: Blackboard,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val agreed: RaftStore? = store as? RaftStore,
) : AutoCloseable {
    /** Takes part in agreement and tells the store which configuration other VMs know to be accepted. */
    fun start() {
        agreed?.start()
        scope.launch { board.watch(Board.CONFIGURATION).collect { agreed?.adoptConfiguration(it.configuration) } }
    }

    /** Adds the services of operators to [server]. */
    fun addServices(server: ServerBuilder) {
        server.service("/v1/records", RecordsService(store, board, clock, scope))
        server.service("/v1/history", HistoryService(agreed, scope))
        server.service("/v1/voters", VotersService(agreed, scope))
    }

    override fun close() {
        agreed?.close()
    }

    /** Opens stores. */
    companion object {
        private const val AGREEMENT = "agreement"

        /**
         * Opens the store that [settings] describe.
         *
         * @throws IOException if the data folder is damaged or in use.
         */
        @Throws(IOException::class)
        fun open(settings: Settings, node: PeerNode, clock: Clock): RaftStore {
            val voters = settings.peers.filter { it.voter }.map { it.vm }
            val own = if (settings.voter) listOf(settings.vm) else emptyList()
            val folder = settings.dataFolder?.takeIf { settings.voter }?.let { DiskFolder(Path(it, AGREEMENT)) }
            return when (val opening = RaftStore.open(node, (voters + own).sorted(), folder, clock)) {
                is StoreOpenResult.Opened -> opening.store
                is StoreOpenResult.Refused -> throw IOException("${settings.dataFolder}: ${opening.reason}")
            }
        }
    }
}
