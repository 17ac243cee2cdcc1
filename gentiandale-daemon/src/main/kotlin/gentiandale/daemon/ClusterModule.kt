package gentiandale.daemon

import gentiandale.cluster.ClusterCore
import gentiandale.cluster.ClusterService
import gentiandale.cluster.ClusterTimes
import gentiandale.cluster.member.MemberRow
import gentiandale.cluster.member.toMemberRow
import gentiandale.cluster.order.PlacementController
import gentiandale.cluster.order.runController
import gentiandale.cluster.spread.ConfigurationFile
import gentiandale.cluster.spread.ConfigurationState
import gentiandale.cluster.spread.SavedConfiguration
import gentiandale.core.Blackboard
import gentiandale.core.Clock
import gentiandale.core.Incarnation
import gentiandale.core.KnownVm
import gentiandale.daemon.engine.HttpOrderSender
import gentiandale.daemon.settings.PeerSettings
import gentiandale.daemon.settings.Settings
import gentiandale.daemon.settings.parsedAddress
import gentiandale.state.RaftStore
import gentiandale.state.ReplicatedStore
import gentiandale.wire.DatagramNode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.nio.file.Path
import kotlin.random.Random

/** Builds membership, the server directory and configuration replication from [settings], and runs them. */
internal class ClusterModule(
    private val settings: Settings,
    private val board: Blackboard,
    private val clock: Clock,
    private val store: ReplicatedStore? = null,
) : AutoCloseable {
    private val log = LoggerFactory.getLogger("gentiandale.cluster")
    private val times = ClusterTimes(
        serverTimeoutMs = settings.limits.serverTimeoutMs,
        serverSilenceMs = settings.limits.serverTimeoutMs / 2,
    )
    private val file = settings.dataFolder?.let { ConfigurationFile(Path.of(it, "spread")) }
    private val datagrams = DatagramNode(settings.vm)
    private val core = ClusterCore(
        self = self(Incarnation(clock.wallMs())),
        peers = settings.peers.map(::row),
        random = Random(clock.wallMs() xor settings.vm.hashCode().toLong()),
        times = times,
        restored = restored(),
    )

    /** Cluster service of this VM. */
    val service = ClusterService(core, datagrams, board, clock, file, noPeers = settings.peers.isEmpty(), times = times)

    /** Starts the cluster service and, if there is a store, its configuration updates and the placement controller. */
    suspend fun start(scope: CoroutineScope) {
        service.start(scope, parsedAddress(settings.peer))
        if (store == null) return
        service.followStore(scope, store.configuration)
        if (store is RaftStore) scope.launch { pollConfirmations(store) }
        val placement = PlacementController(settings.vm, settings.dataCentre, store, HttpOrderSender(), clock)
        scope.runController(placement, board, PLACEMENT_PERIOD_MS)
    }

    /** Announces to the other VMs that this VM is leaving. */
    suspend fun leave() = service.leave()

    override fun close() = datagrams.close()

    private suspend fun pollConfirmations(raftStore: RaftStore) {
        while (true) {
            raftStore.confirmedMs?.let { service.recordConfirmation(clock.monotonicMs() - it) }
            delay(CONFIRMATION_PERIOD_MS)
        }
    }

    private fun self(incarnation: Incarnation): MemberRow = KnownVm(
        vm = settings.vm,
        dataCentre = settings.dataCentre,
        region = settings.region,
        http = parsedAddress(settings.http),
        peer = parsedAddress(settings.peer),
        voter = settings.voter,
        incarnation = incarnation,
    ).toMemberRow()

    private fun row(peer: PeerSettings): MemberRow = KnownVm(
        vm = peer.vm,
        dataCentre = peer.dataCentre,
        region = peer.region,
        http = parsedAddress(peer.http),
        peer = parsedAddress(peer.peer),
        voter = peer.voter,
    ).toMemberRow()

    private fun restored(): ConfigurationState = when (val saved = file?.load()) {
        is SavedConfiguration.Present -> saved.state
        is SavedConfiguration.Corrupt -> {
            log.error("Starting without the saved configuration, which is corrupt: {}", saved.reason)
            ConfigurationState()
        }
        is SavedConfiguration.Absent, null -> ConfigurationState()
    }

    private companion object {
        const val CONFIRMATION_PERIOD_MS = 500L
        const val PLACEMENT_PERIOD_MS = 1_000L
    }
}
