package gentiandale.cluster

import gentiandale.cluster.cell.CellId
import gentiandale.cluster.cell.CellMap
import gentiandale.cluster.cell.CellSummary
import gentiandale.cluster.cell.SummaryTable
import gentiandale.cluster.directory.AnnounceReply
import gentiandale.cluster.directory.AnnouncementResult
import gentiandale.cluster.directory.ServerDirectory
import gentiandale.cluster.directory.ServerRow
import gentiandale.cluster.member.DetectorAction
import gentiandale.cluster.member.FailureDetector
import gentiandale.cluster.member.MemberMergeResult
import gentiandale.cluster.member.MemberRow
import gentiandale.cluster.member.MemberTable
import gentiandale.cluster.member.RumorBatch
import gentiandale.cluster.member.RumorBuffer
import gentiandale.cluster.spread.ConfigurationGossip
import gentiandale.cluster.spread.ConfigurationState
import gentiandale.cluster.spread.GossipAction
import gentiandale.core.Announcement
import gentiandale.core.Configuration
import gentiandale.core.KnownServer
import gentiandale.core.KnownVm
import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.VmState
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * State machine of the protocol among the entry VMs, without I/O: it receives datagrams and clock ticks, and returns
 * datagrams to send. It holds the known VMs, the backend servers and the active configuration. Not thread-safe. All
 * times are monotonic milliseconds.
 *
 * @param self this VM. Its incarnation has to be higher than those before a restart.
 * @param peers VMs named in the settings; they are taken as alive until a probe fails.
 * @param restored configuration that was active before the restart.
 */
public class ClusterCore(
    self: MemberRow,
    peers: List<MemberRow>,
    private val random: Random,
    private val times: ClusterTimes = ClusterTimes(),
    restored: ConfigurationState = ConfigurationState(),
) {
    private val log = LoggerFactory.getLogger("gentiandale.cluster")
    private val table = MemberTable(self)
    private val directory = ServerDirectory(times)
    private val digest = TableDigest(table, directory)
    private val detector = FailureDetector(table, times, random, self.incarnation.value)
    private val rumors = RumorBuffer(times, random)
    private val gossip = ConfigurationGossip(restored)
    private val summaries = SummaryTable()
    private val relayedPings = RelayedPings()
    private val sync = TableSync(digest, times)
    private val outbox = mutableListOf<OutgoingDatagram>()
    private var lastTickMs: Long? = null
    private var lastSweepMs = 0L
    private var cellMapVersion = -1L
    private var cellMap = CellMap.EMPTY

    init {
        peers.forEach { table.put(it, 0) }
        rumors.add(table.self, table.all.size)
    }

    /** Row of this VM that is gossiped to the other VMs. */
    public val self: MemberRow get() = table.self

    /** Version that rises with every change of [vms]. */
    public val vmsVersion: Long get() = table.version

    /** Revision of the active configuration. */
    public val revision: Long get() = gossip.revision

    /** Monotonic time at which a majority last confirmed the active configuration as the newest; null if never. */
    public val confirmedMs: Long? get() = gossip.confirmedMs

    /** Whether another VM has answered a comparison since the start, and no VM has reported a later configuration. */
    public val hasCaughtUp: Boolean get() = sync.hasSynced && gossip.isCurrent

    /** Returns all known VMs, including this one. */
    public fun vms(): Map<VmId, KnownVm> = table.all.associate { it.vm to it.toKnownVm() }

    /** Returns the live servers. On its owner, a server that is silent is shown as leaving. */
    public fun servers(): Map<ServerId, KnownServer> = directory.liveServers()

    /** Returns the servers that changed since the last call; the value is null for those that are gone. */
    public fun drainChangedServers(): Map<ServerId, KnownServer?> = directory.drainChanged()

    /** Version that rises with every change that may affect [cells]. */
    public val cellsVersion: Long get() = table.ownershipVersion + directory.version

    /** Returns the cells, computed from the VMs and live servers that this VM knows. */
    public fun cells(): CellMap {
        if (cellsVersion != cellMapVersion) {
            cellMapVersion = cellsVersion
            val live = directory.all.filter { it.isUp }.map { it.facts }
            cellMap = CellMap.of(table.all.map { it.toKnownVm() }, live)
        }
        return cellMap
    }

    /** Returns the active configuration. */
    public fun configuration(): Configuration = gossip.configuration()

    /** Returns the active configuration with its change history, to be persisted for a restart. */
    public fun configurationState(): ConfigurationState = gossip.state()

    /** Returns the latest known summaries of cells. */
    public fun summaries(): Map<CellId, CellSummary> = summaries.all()

    /** Publishes [summary] of a cell that this VM owns. */
    public fun publish(summary: CellSummary, now: Long) {
        summaries.publish(summary, now)
    }

    /** Runs the periodic work that is due at [now]. To be called every [ClusterTimes.tickMs]. */
    public fun tick(now: Long): List<OutgoingDatagram> = collectOutgoing {
        handlePause(now)
        detector.tick(now).forEach { perform(it, now) }
        sendDueRumors(now)
        sync.openIfDue(now, table.presentPeers(), random)?.let { (peer, message) -> send(peer, message) }
        sync.dequeueBatches().forEach { (peer, batch) -> sendSyncRows(peer, batch) }
        gossip.tick(now)
        if (now - lastSweepMs >= SWEEP_PERIOD_MS) sweep(now)
    }

    /** Handles a [datagram] from another VM. */
    public fun receive(now: Long, datagram: ClusterDatagram): List<OutgoingDatagram> = collectOutgoing {
        val fromSync = datagram.body == ClusterMessage.SyncRows
        datagram.members.forEach { mergeMember(it, datagram.from, fromSync, now) }
        datagram.servers.forEach { mergeServer(it, datagram.from, fromSync, now) }
        table.recordContact(datagram.from, datagram.incarnation, now)?.let { gossipChange(it) }
        if (table[datagram.from] != null) detector.answered(datagram.from)
        if (table[datagram.from]?.region == table.self.region) summaries.merge(datagram.summaries)
        datagram.body?.let { handleMessage(datagram.from, it, now) }
        val actions = gossip.receiveRevision(datagram.from, datagram.revision, datagram.confirmedAgeMs, now)
        performAll(actions)
    }

    /** Announces that this VM leaves. This is final for the running process. */
    public fun leave(now: Long): List<OutgoingDatagram> = collectOutgoing {
        if (table.self.state == VmState.LEAVING) return@collectOutgoing
        gossipChange(table.mark(table.self.vm, VmState.LEAVING, now))
        sendDueRumors(now)
    }

    /** Handles the [announcement] that a backend server sent to this VM. */
    public fun announce(now: Long, announcement: Announcement): Pair<AnnounceReply, List<OutgoingDatagram>> {
        val facts = announcement.facts
        val result = directory.mergeAnnouncement(announcement, now)
        if (result is AnnouncementResult.Conflict) return AnnounceReply.Refused(result.findings) to emptyList()
        val effects = collectOutgoing {
            (result as AnnouncementResult.Valid).changedRow?.let { gossipChange(it) }
            val owner = ownerOf(facts.server)
            if (owner.vm == table.self.vm) {
                directory.recordReport(facts.server, announcement.load, now)
            } else {
                val withoutRequests = announcement.copy(load = announcement.load.copy(requests = emptyList()))
                send(owner, ClusterMessage.Announced(withoutRequests))
            }
            sendDueRumors(now)
        }
        return AnnounceReply.Accepted(ownerOf(facts.server).http) to effects
    }

    /** Activates and distributes a [configuration] that the local store accepted. */
    public fun acceptConfiguration(configuration: Configuration): List<OutgoingDatagram> = collectOutgoing {
        performAll(gossip.accept(configuration))
    }

    /** Records that, [ageMs] milliseconds before [now], a majority confirmed the active configuration as the newest. */
    public fun recordConfirmation(now: Long, ageMs: Long) {
        gossip.recordConfirmation(now, ageMs)
    }

    private fun handlePause(now: Long) {
        val pause = now - (lastTickMs ?: now)
        lastTickMs = now
        if (pause < times.pauseThresholdMs) return
        log.warn("No tick for {} ms: the process was paused; failure timeouts are extended.", pause)
        detector.resume(now, pause)
        directory.resume(pause)
    }

    private fun perform(action: DetectorAction, now: Long) {
        when (action) {
            is DetectorAction.Ping -> {
                val target = table[action.target] ?: return
                val toRefute = if (target.state == VmState.ALIVE) emptyList() else listOf(target)
                send(target, ClusterMessage.Ping(action.sequence), toRefute)
            }
            is DetectorAction.IndirectPing -> {
                val relay = table[action.via] ?: return
                send(relay, ClusterMessage.PingRequest(action.sequence, action.target))
            }
            is DetectorAction.Suspected -> gossipChange(table.mark(action.vm, VmState.SUSPECT, now))
            is DetectorAction.Failed -> gossipChange(table.mark(action.vm, VmState.DEAD, now))
        }
    }

    private fun mergeMember(row: MemberRow, from: VmId, fromSync: Boolean, now: Long) {
        if (row.vm == table.self.vm) {
            table.refute(row, now)?.let { gossipChange(it) }
            return
        }
        when (val result = table.merge(row, from, now)) {
            is MemberMergeResult.Applied -> gossipChange(result.row)
            is MemberMergeResult.Unverified -> detector.verify(result.vm, result.reportedDead, now).forEach {
                perform(it, now)
            }
            MemberMergeResult.Ignored -> if (fromSync) sendNewerRow(row, from)
        }
    }

    private fun sendNewerRow(row: MemberRow, from: VmId) {
        val known = table[row.vm] ?: return
        val isNewer = known.incarnation > row.incarnation || !known.isPresent
        if (isNewer) table[from]?.let { send(it, null, listOf(known)) }
    }

    private fun mergeServer(row: ServerRow, from: VmId, fromSync: Boolean, now: Long) {
        val changedRow = directory.merge(row, now)
        if (changedRow != null) gossipChange(changedRow)
        val known = directory[row.server]
        if (fromSync && known != row) {
            table[from]?.let { outbox += outgoing(it, ClusterMessage.SyncRows, servers = listOfNotNull(known)) }
        }
    }

    private fun handleMessage(from: VmId, message: ClusterMessage, now: Long) {
        val peer = table[from]
        when (message) {
            is ClusterMessage.Ping -> peer?.let { send(it, ClusterMessage.Ack(message.sequence), rowToRefute(it)) }
            is ClusterMessage.Ack -> handleAck(from, message, now)
            is ClusterMessage.PingRequest -> table[message.target]?.let {
                send(it, ClusterMessage.Ping(relayedPings.add(from, message, now)), rowToRefute(it))
            }
            is ClusterMessage.Sync -> peer?.let { to -> sync.handle(to, message)?.let { send(to, it) } }
            is ClusterMessage.Announced -> handleAnnounced(message.announcement, now)
            is ClusterMessage.ConfigurationPull -> peer?.let { send(it, gossip.answer(message)) }
            is ClusterMessage.ConfigurationPage -> performAll(gossip.receivePage(from, message, now))
        }
    }

    private fun handleAck(from: VmId, ack: ClusterMessage.Ack, now: Long) {
        val target = ack.target
        if (target != null) {
            ack.targetIncarnation?.let { table.recordContact(target, it, now) }?.let { gossipChange(it) }
            detector.answered(target)
            return
        }
        val request = relayedPings.take(from, ack.sequence) ?: return
        val requester = table[request.requester] ?: return
        val answered = table[from] ?: return
        send(requester, ClusterMessage.Ack(request.sequence, answered.vm, answered.incarnation))
    }

    private fun handleAnnounced(announcement: Announcement, now: Long) {
        val result = directory.mergeAnnouncement(announcement, now) as? AnnouncementResult.Valid ?: return
        result.changedRow?.let { gossipChange(it) }
        directory.recordReport(announcement.facts.server, announcement.load, now)
    }

    private fun rowToRefute(row: MemberRow) = if (row.state == VmState.ALIVE) emptyList() else listOf(row)

    private fun gossipChange(row: MemberRow) {
        if (row.state == VmState.ALIVE) detector.clearSuspicion(row.vm)
        log.info("VM {} is {} in incarnation {}.", row.vm, row.state, row.incarnation)
        rumors.add(row, table.all.size)
    }

    private fun gossipChange(row: ServerRow) {
        log.debug("Server {} has version {} in incarnation {}.", row.server, row.version, row.facts.incarnation)
        rumors.add(row, table.all.size)
    }

    private fun sweep(now: Long) {
        lastSweepMs = now
        directory.updateSilent(now)
        val cells = cells()
        val owned = directory.all.filter { it.isUp && cells.ownerOf(it.facts) == table.self.vm }.map { it.server }
        directory.markTimedOut(now, owned).forEach {
            log.info("Server {} is gone: its reports timed out.", it.server)
            gossipChange(it)
        }
        directory.expire(now - times.tombstoneMs)
        table.expire(now - times.tombstoneMs)
    }

    private fun ownerOf(server: ServerId): MemberRow {
        val facts = directory[server]?.facts ?: return table.self
        return cells().ownerOf(facts)?.let { table[it] } ?: table.self
    }

    private fun sendDueRumors(now: Long) {
        val targets = rumors.dueTargets(now, table.presentPeers())
        if (targets.isEmpty()) return
        val batches = rumors.batches()
        targets.forEach { to -> batches.forEach { outbox += outgoing(to, null, it.members, it.servers) } }
    }

    private fun sendSyncRows(peer: MemberRow, batch: RumorBatch) {
        outbox += outgoing(peer, ClusterMessage.SyncRows, batch.members, batch.servers)
    }

    private fun performAll(actions: List<GossipAction>) {
        actions.forEach { action ->
            when (action) {
                is GossipAction.Pull -> table[action.to]?.let { send(it, action.pull) }
                is GossipAction.Push -> {
                    log.info("Configuration revision {} is active.", action.page.revision)
                    table.presentPeers().shuffled(random).take(PUSH_FANOUT).forEach { send(it, action.page) }
                }
            }
        }
    }

    private fun send(to: MemberRow, body: ClusterMessage?, members: List<MemberRow> = emptyList()) {
        outbox += outgoing(to, body, members)
    }

    private fun outgoing(
        to: MemberRow,
        body: ClusterMessage?,
        members: List<MemberRow> = emptyList(),
        servers: List<ServerRow> = emptyList(),
    ): OutgoingDatagram {
        val isProbe = body is ClusterMessage.Ping || body is ClusterMessage.Ack
        val datagram = ClusterDatagram(
            from = table.self.vm,
            incarnation = table.self.incarnation,
            revision = gossip.revision,
            confirmedAgeMs = gossip.confirmedMs?.let { (lastTickMs ?: it) - it }?.coerceAtLeast(0),
            body = body,
            members = members,
            servers = servers,
            summaries = if (isProbe && to.region == table.self.region) summaries.latest() else emptyList(),
        )
        return OutgoingDatagram(to.vm, to.peer, datagram)
    }

    private fun collectOutgoing(block: () -> Unit): List<OutgoingDatagram> {
        block()
        return outbox.toList().also { outbox.clear() }
    }

    private companion object {
        const val SWEEP_PERIOD_MS = 200L
        const val PUSH_FANOUT = 4
    }
}
