package gentiandale.cluster

import gentiandale.cluster.cell.CellSummary
import gentiandale.cluster.cell.SummarySink
import gentiandale.cluster.directory.AnnounceReply
import gentiandale.cluster.spread.ConfigurationFile
import gentiandale.core.Address
import gentiandale.core.Announcement
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.BoardKey
import gentiandale.core.Clock
import gentiandale.core.Configuration
import gentiandale.core.ConfirmedConfiguration
import gentiandale.wire.DatagramNode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.slf4j.LoggerFactory
import java.io.IOException

/** Whether this VM has a configuration that is current enough to serve requests. */
public val CONFIGURATION_READY: BoardKey<Boolean> = BoardKey("configuration-ready", false)

/**
 * Runs a [ClusterCore] on sockets and the system clock, and publishes its state on the [board].
 *
 * @param file persists the active configuration for a restart; null on a VM without a disk.
 * @param noPeers whether the settings name no other VM, so that no configuration can be received from one.
 */
public class ClusterService(
    private val core: ClusterCore,
    private val datagrams: DatagramNode,
    private val board: Blackboard,
    private val clock: Clock,
    private val file: ConfigurationFile? = null,
    private val noPeers: Boolean = false,
    private val times: ClusterTimes = ClusterTimes(),
) : SummarySink {
    private val log = LoggerFactory.getLogger("gentiandale.cluster")
    private val lock = Any()
    private val publisher = BlackboardPublisher(board)
    private val revisionChanges = Channel<Unit>(Channel.CONFLATED)
    private var signalledRevision = -1L

    /** Starts listening on [address], and returns the bound port. */
    public suspend fun start(scope: CoroutineScope, address: Address): Int {
        val restored = synchronized(lock) { core.configuration() }
        if (restored.revision > 0 || noPeers) activate(restored)
        val port = datagrams.listen(address, ::receive)
        scope.launch { tickLoop() }
        scope.launch { persistConfigurations() }
        return port
    }

    /** Activates and distributes each configuration that the local store accepts. For voters only. */
    public fun followStore(scope: CoroutineScope, accepted: StateFlow<Configuration>) {
        scope.launch { accepted.collect { configuration -> runOnCore { acceptConfiguration(configuration) } } }
    }

    /** Records that, [ageMs] milliseconds ago, a majority confirmed the active configuration as the newest. */
    public fun recordConfirmation(ageMs: Long) {
        synchronized(lock) { core.recordConfirmation(clock.monotonicMs(), ageMs) }
    }

    /** Handles the [announcement] that a backend server sent to this VM. */
    public fun announce(announcement: Announcement): AnnounceReply {
        var reply: AnnounceReply? = null
        runOnCore { now ->
            val (answer, effects) = announce(now, announcement)
            reply = answer
            effects
        }
        return requireNotNull(reply)
    }

    override fun publish(summary: CellSummary) {
        synchronized(lock) { core.publish(summary, clock.monotonicMs()) }
    }

    /** Announces to the other VMs that this one leaves, and waits for the announcement to spread. */
    public suspend fun leave() {
        runOnCore { leave(it) }
        delay(LEAVE_PROPAGATION_MS)
    }

    private fun receive(payload: ByteArray) {
        val datagram = ClusterCodec.decode(payload) ?: return
        runOnCore { receive(it, datagram) }
    }

    private suspend fun tickLoop() {
        while (true) {
            runOnCore { tick(it) }
            delay(times.tickMs)
        }
    }

    private fun runOnCore(change: ClusterCore.(Long) -> List<OutgoingDatagram>) {
        synchronized(lock) {
            core.change(clock.monotonicMs()).forEach {
                datagrams.send(it.to, it.address, ClusterCodec.encode(it.datagram))
            }
            publisher.publish(core)
            if (core.revision != signalledRevision) {
                signalledRevision = core.revision
                revisionChanges.trySend(Unit)
            }
            publishConfirmation()
            publishReadiness()
        }
    }

    private fun publishReadiness() {
        if (core.hasCaughtUp && core.revision <= board[Board.CONFIGURATION].configuration.revision) {
            board[CONFIGURATION_READY] = true
        }
    }

    private fun publishConfirmation() {
        val confirmedMs = core.confirmedMs ?: return
        board.update(Board.CONFIGURATION) {
            val isOutdated = confirmedMs - it.confirmedMs >= CONFIRMATION_UPDATE_MS
            if (isOutdated && it.configuration.revision == core.revision) it.copy(confirmedMs = confirmedMs) else it
        }
    }

    private suspend fun persistConfigurations() = withContext(Dispatchers.IO) {
        var persistedRevision = synchronized(lock) { core.revision }
        while (isActive) {
            revisionChanges.receive()
            val state = synchronized(lock) { core.configurationState() }
            if (state.revision <= persistedRevision) continue
            persistedRevision = state.revision
            try {
                file?.save(state)
            } catch (e: IOException) {
                log.error("Configuration revision {} could not be saved for a restart: {}.", state.revision, e.message)
            }
            activate(state.toConfiguration())
        }
    }

    private fun activate(configuration: Configuration) {
        board.update(Board.CONFIGURATION) {
            if (configuration.revision < it.configuration.revision) {
                it
            } else {
                ConfirmedConfiguration(configuration, core.confirmedMs ?: it.confirmedMs)
            }
        }
        board[CONFIGURATION_READY] = true
    }

    private companion object {
        const val LEAVE_PROPAGATION_MS = 400L
        const val CONFIRMATION_UPDATE_MS = 500L
    }
}
