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
 * Replicated store of one daemon and its HTTP services.
 *
 * @param raftStore the [store] if it is replicated by Raft; null for a store local to this process.
 */
internal class StoreModule(
    val store: ReplicatedStore,
    private val board: Blackboard,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val raftStore: RaftStore? = store as? RaftStore,
) : AutoCloseable {
    /** Starts the Raft store and passes it the configuration that the other VMs know to be accepted. */
    fun start() {
        raftStore?.start()
        scope.launch { board.watch(Board.CONFIGURATION).collect { raftStore?.adoptConfiguration(it.configuration) } }
    }

    /** Adds the HTTP services for operators to [server]. */
    fun addServices(server: ServerBuilder) {
        server.service("/v1/records", RecordsService(store, board, clock, scope))
        server.service("/v1/history", HistoryService(raftStore, scope))
        server.service("/v1/voters", VotersService(raftStore, scope))
    }

    override fun close() {
        raftStore?.close()
    }

    /** Opens the store of a daemon. */
    companion object {
        private const val LOG_FOLDER = "agreement"

        /**
         * Opens the store that [settings] describe.
         *
         * @throws IOException if the data folder is damaged or in use.
         */
        @Throws(IOException::class)
        fun open(settings: Settings, node: PeerNode, clock: Clock): RaftStore {
            val peerVoters = settings.peers.filter { it.voter }.map { it.vm }
            val selfVoter = if (settings.voter) listOf(settings.vm) else emptyList()
            val folder = settings.dataFolder?.takeIf { settings.voter }?.let { DiskFolder(Path(it, LOG_FOLDER)) }
            return when (val result = RaftStore.open(node, (peerVoters + selfVoter).sorted(), folder, clock)) {
                is StoreOpenResult.Opened -> result.store
                is StoreOpenResult.Refused ->
                    throw IOException("can't open the data folder ${settings.dataFolder}: ${result.reason}")
            }
        }
    }
}
