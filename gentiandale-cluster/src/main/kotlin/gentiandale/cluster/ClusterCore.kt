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
import gentiandale.cluster.spread.ConfigurationSpread
import gentiandale.cluster.spread.ConfigurationState
import gentiandale.cluster.spread.SpreadStep
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
 * The part of one entry VM in the protocol among the entry VMs, without I/O: it takes datagrams and the passing of
 * time, and returns datagrams to send. It holds who the other VMs are, the backend servers, and the configuration in
 * force. Not thread-safe. All times are monotonic milliseconds.
 *
 * @param self this VM. Its incarnation is higher than in all its earlier lives.
 * @param peers VMs that the settings name; they are taken as alive until a probe says otherwise.
 * @param restored configuration that this VM had in force before its restart.
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
    private val spread = ConfigurationSpread(restored)
    private val summaries = SummaryTable()
    private val relayedPings = RelayedPings()
    private val sync = TableSync(digest, times)
    private val out = mutableListOf<Outgoing>()
    private var lastTickMs: Long? = null
    private var lastSweepMs = 0L
    private var cellMapVersion = -1L
    private var cellMap = CellMap.EMPTY

    init {
        peers.forEach { table.put(it, 0) }
        rumors.add(table.self, table.all.size)
    }

    /** This VM as the others are told. */
    public val self: MemberRow get() = table.self

    /** Number that rises with every change of [vms]. */
    public val vmsVersion: Long get() = table.version

    /** Revision of the configuration in force. */
    public val revision: Long get() = spread.revision

    /** Monotonic time at which a majority last confirmed the configuration in force; null if never. */
    public val confirmedMs: Long? get() = spread.confirmedMs

    /** Whether another VM has answered since the start, and none was heard to have a later configuration. */
    public val hasCaughtUp: Boolean get() = sync.hasSynced && spread.isCurrent

    /** Returns all known VMs, this one included. */
    public fun vms(): Map<VmId, KnownVm> = table.all.associate { it.vm to it.toKnownVm() }

    /** Returns the live servers. One that its owner finds silent is shown as leaving. */
    public fun servers(): Map<ServerId, KnownServer> = directory.liveServers()

    /** Returns the servers that changed since the last call, with null for those that are gone. */
    public fun drainChangedServers(): Map<ServerId, KnownServer?> = directory.drainChanged()

    /** Number that rises with every change of [cells]. */
    public val cellsVersion: Long get() = table.ownershipVersion + directory.version

    /** Returns the cells as this VM sees them. */
    public fun cells(): CellMap {
        if (cellsVersion != cellMapVersion) {
            cellMapVersion = cellsVersion
            val live = directory.all.filter { it.isUp }.map { it.facts }
            cellMap = CellMap.of(table.all.map { it.toKnownVm() }, live)
        }
        return cellMap
    }

    /** Returns the configuration in force. */
    public fun configuration(): Configuration = spread.configuration()

    /** Returns the configuration in force with what is needed to keep it over a restart. */
    public fun configurationState(): ConfigurationState = spread.state()

    /** Returns the summaries of cells that were heard. */
    public fun summaries(): Map<CellId, CellSummary> = summaries.all()

    /** Publishes [summary] of a cell of this VM. */
    public fun publish(summary: CellSummary, now: Long) {
        summaries.publish(summary, now)
    }

    /** Does what is due at [now]. It is to be called every [ClusterTimes.tickMs]. */
    public fun tick(now: Long): List<Outgoing> = collect {
        handlePause(now)
        detector.tick(now).forEach { perform(it, now) }
        sendRumors(now)
        sync.openIfDue(now, table.presentPeers(), random)?.let { (peer, message) -> send(peer, message) }
        sync.dequeueBatches().forEach { (peer, batch) -> sendTo(peer, batch) }
        spread.tick(now)
        if (now - lastSweepMs >= SWEEP_PERIOD_MS) sweep(now)
    }

    /** Handles a [datagram] of another VM. */
    public fun receive(now: Long, datagram: ClusterDatagram): List<Outgoing> = collect {
        val fromSync = datagram.body == ClusterMessage.SyncRows
        datagram.members.forEach { mergeMember(it, datagram.from, fromSync, now) }
        datagram.servers.forEach { mergeServer(it, datagram.from, fromSync, now) }
        table.recordContact(datagram.from, datagram.incarnation, now)?.let { changed(it) }
        if (table[datagram.from] != null) detector.answered(datagram.from)
        if (table[datagram.from]?.region == table.self.region) summaries.merge(datagram.summaries)
        datagram.body?.let { answer(datagram.from, it, now) }
        val steps = spread.hearRevision(datagram.from, datagram.revision, datagram.confirmedAgeMs, now)
        follow(steps)
    }

    /** Says that this VM leaves. It is final for this life. */
    public fun leave(now: Long): List<Outgoing> = collect {
        if (table.self.state == VmState.LEAVING) return@collect
        changed(table.mark(table.self.vm, VmState.LEAVING, now))
        sendRumors(now)
    }

    /** Takes the announcement that a backend server made to this VM. */
    public fun announce(now: Long, announcement: Announcement): Pair<AnnounceReply, List<Outgoing>> {
        val facts = announcement.facts
        val result = directory.mergeAnnouncement(announcement, now)
        if (result is AnnouncementResult.Conflict) return AnnounceReply.Refused(result.findings) to emptyList()
        val effects = collect {
            (result as AnnouncementResult.Valid).changedRow?.let { changed(it) }
            val owner = ownerOf(facts.server)
            if (owner.vm == table.self.vm) {
                directory.recordReport(facts.server, announcement.load, now)
            } else {
                val withoutRequests = announcement.copy(load = announcement.load.copy(requests = emptyList()))
                send(owner, ClusterMessage.Announced(withoutRequests))
            }
            sendRumors(now)
        }
        return AnnounceReply.Accepted(ownerOf(facts.server).http) to effects
    }

    /** Takes a [configuration] that the store of this VM accepted. */
    public fun accepted(configuration: Configuration): List<Outgoing> = collect {
        follow(spread.accept(configuration))
    }

    /** Notes that a majority confirmed, [ageMs] milliseconds before [now], that nothing newer is accepted. */
    public fun confirmed(now: Long, ageMs: Long) {
        spread.confirm(now, ageMs)
    }

    private fun handlePause(now: Long) {
        val pause = now - (lastTickMs ?: now)
        lastTickMs = now
        if (pause < times.pauseThresholdMs) return
        log.warn("No tick for {} ms. Pending verdicts are put off.", pause)
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
            is DetectorAction.Suspected -> changed(table.mark(action.vm, VmState.SUSPECT, now))
            is DetectorAction.Failed -> changed(table.mark(action.vm, VmState.DEAD, now))
        }
    }

    private fun mergeMember(row: MemberRow, from: VmId, fromSync: Boolean, now: Long) {
        if (row.vm == table.self.vm) {
            table.refute(row, now)?.let { changed(it) }
            return
        }
        when (val result = table.merge(row, from, now)) {
            is MemberMergeResult.Applied -> changed(result.row)
            is MemberMergeResult.Unverified -> detector.verify(result.vm, result.reportedDead, now).forEach {
                perform(it, now)
            }
            MemberMergeResult.Ignored -> if (fromSync) sendNewerRow(row, from)
        }
    }

    private fun sendNewerRow(row: MemberRow, from: VmId) {
        val known = table[row.vm] ?: return
        val newer = known.incarnation > row.incarnation || !known.isPresent
        if (newer) table[from]?.let { send(it, null, listOf(known)) }
    }

    private fun mergeServer(row: ServerRow, from: VmId, fromSync: Boolean, now: Long) {
        val changedRow = directory.merge(row, now)
        if (changedRow != null) changed(changedRow)
        val known = directory[row.server]
        if (fromSync && known != row) {
            table[from]?.let { out += outgoing(it, ClusterMessage.SyncRows, servers = listOfNotNull(known)) }
        }
    }

    private fun answer(from: VmId, message: ClusterMessage, now: Long) {
        val peer = table[from]
        when (message) {
            is ClusterMessage.Ping -> peer?.let { send(it, ClusterMessage.Ack(message.sequence), rowToRefute(it)) }
            is ClusterMessage.Ack -> handleAck(from, message, now)
            is ClusterMessage.PingRequest -> table[message.target]?.let {
                send(it, ClusterMessage.Ping(relayedPings.add(from, message, now)), rowToRefute(it))
            }
            is ClusterMessage.Sync -> peer?.let { to -> sync.handle(to, message)?.let { send(to, it) } }
            is ClusterMessage.Announced -> handleAnnounced(message.announcement, now)
            is ClusterMessage.ConfigurationPull -> peer?.let { send(it, spread.answer(message)) }
            is ClusterMessage.ConfigurationPage -> follow(spread.hearPage(from, message, now))
        }
    }

    private fun handleAck(from: VmId, ack: ClusterMessage.Ack, now: Long) {
        val target = ack.target
        if (target != null) {
            ack.targetIncarnation?.let { table.recordContact(target, it, now) }?.let { changed(it) }
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
        result.changedRow?.let { changed(it) }
        directory.recordReport(announcement.facts.server, announcement.load, now)
    }

    private fun rowToRefute(row: MemberRow) = if (row.state == VmState.ALIVE) emptyList() else listOf(row)

    private fun changed(row: MemberRow) {
        if (row.state == VmState.ALIVE) detector.clearSuspicion(row.vm)
        log.info("{} is {} in incarnation {}.", row.vm, row.state, row.incarnation)
        rumors.add(row, table.all.size)
    }

    private fun changed(row: ServerRow) {
        log.debug("{} has version {} in incarnation {}.", row.server, row.version, row.facts.incarnation)
        rumors.add(row, table.all.size)
    }

    private fun sweep(now: Long) {
        lastSweepMs = now
        directory.updateSilent(now)
        val cells = cells()
        val owned = directory.all.filter { it.isUp && cells.ownerOf(it.facts) == table.self.vm }.map { it.server }
        directory.markTimedOut(now, owned).forEach {
            log.info("{} is gone: it was silent for too long.", it.server)
            changed(it)
        }
        directory.expire(now - times.tombstoneMs)
        table.expire(now - times.tombstoneMs)
    }

    private fun ownerOf(server: ServerId): MemberRow {
        val facts = directory[server]?.facts ?: return table.self
        return cells().ownerOf(facts)?.let { table[it] } ?: table.self
    }

    private fun sendRumors(now: Long) {
        val targets = rumors.dueTargets(now, table.presentPeers())
        if (targets.isEmpty()) return
        val batches = rumors.batches()
        targets.forEach { to -> batches.forEach { out += outgoing(to, null, it.members, it.servers) } }
    }

    private fun sendTo(peer: MemberRow, batch: RumorBatch) {
        out += outgoing(peer, ClusterMessage.SyncRows, batch.members, batch.servers)
    }

    private fun follow(steps: List<SpreadStep>) {
        steps.forEach { step ->
            when (step) {
                is SpreadStep.Pull -> table[step.to]?.let { send(it, step.pull) }
                is SpreadStep.Push -> {
                    log.info("Configuration {} is in force.", step.page.revision)
                    table.presentPeers().shuffled(random).take(PUSH_FANOUT).forEach { send(it, step.page) }
                }
            }
        }
    }

    private fun send(to: MemberRow, body: ClusterMessage?, members: List<MemberRow> = emptyList()) {
        out += outgoing(to, body, members)
    }

    private fun outgoing(
        to: MemberRow,
        body: ClusterMessage?,
        members: List<MemberRow> = emptyList(),
        servers: List<ServerRow> = emptyList(),
    ): Outgoing {
        val probe = body is ClusterMessage.Ping || body is ClusterMessage.Ack
        val datagram = ClusterDatagram(
            from = table.self.vm,
            incarnation = table.self.incarnation,
            revision = spread.revision,
            confirmedAgeMs = spread.confirmedMs?.let { (lastTickMs ?: it) - it }?.coerceAtLeast(0),
            body = body,
            members = members,
            servers = servers,
            summaries = if (probe && to.region == table.self.region) summaries.latest() else emptyList(),
        )
        return Outgoing(to.vm, to.peer, datagram)
    }

    private fun collect(step: () -> Unit): List<Outgoing> {
        step()
        return out.toList().also { out.clear() }
    }

    private companion object {
        const val SWEEP_PERIOD_MS = 200L
        const val PUSH_FANOUT = 4
    }
}
