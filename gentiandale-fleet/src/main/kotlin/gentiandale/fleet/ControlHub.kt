package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.DataCentreId
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.CrashTable
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.ReadSpeed
import gentiandale.core.backend.ServiceName
import gentiandale.core.customer.CustomerQuota
import gentiandale.core.customer.QuotaBounds
import gentiandale.core.log.EventLog
import gentiandale.state.Document

/** Sends fleet messages to other VMs. Delivery is not guaranteed. */
public fun interface FleetSender {
    /** Sends [message] to the VM [to]. */
    public fun send(to: VmId, message: FleetMessage)
}

/**
 * Fleet state of a control VM: backend servers, other control VMs and subscribed entry VMs. Changes are sent at once;
 * periodic messages carry a table digest and a configuration version, from which a receiver detects lost updates.
 * Not thread-safe: all calls must come from one thread.
 *
 * @param silenceMs time in milliseconds without a heartbeat after which a server is marked as silent.
 * @param isRecovering whether departures of servers were recorded that this VM doesn't know yet. Until
 * [onDeparturesComplete] it passes on no heartbeat that makes a server usable.
 * @param isFirstStart whether the whole system starts for the first time, so that no server was in use before.
 * @param quotaBounds how far the requests of customers may exceed their quotas.
 */
public class ControlHub(
    private val self: VmId,
    private val clock: Clock,
    private val sender: FleetSender,
    private val log: EventLog,
    silenceMs: Long,
    private var isRecovering: Boolean = false,
    isFirstStart: Boolean = false,
    quotaBounds: QuotaBounds = QuotaBounds(),
) {
    private class Peer(var version: Long, var digest: Long, var seenMs: Long, var tableMs: Long = Long.MIN_VALUE / 2) {
        var speeds = emptyList<ReadSpeed>()
        var crashesMs = Long.MIN_VALUE / 2
        var dataCentre: DataCentreId? = null
    }

    private val controlVms = ControlVmRegistry(self, log)
    private val heldHeartbeats = HashMap<ServerId, BackendRow>()
    private val startMs = clock.monotonicMs()
    private val entries = HashMap<VmId, Peer>()
    private val controls = HashMap<VmId, Peer>()
    private val loads = LoadAggregator()
    private val crashes = CrashTable()
    private val suspicions = SuspicionTracker()
    private val limits = LimitTable()
    private val permits = PermitSender(self, controlVms, sender)
    private val quotas = QuotaCoordinator(self, controlVms, sender, log, quotaBounds)
    private val forwardPeers = ForwardPeerIssuer(startMs, log)
    private val origins = OriginDirectory(self, startMs, isFirstStart)
    private val table = ServerRegistry(clock, log, silenceMs) { origins.onReplaced(it, clock.monotonicMs()) }
    private val view = FleetCapacityView(table, { entries.size }, ::loadsOfEarlierQueue)
    private val capacity = CapacityDesk(view, clock, sender, log, ::lowerControlVms) { entries.keys }
    private var areLoadsChanged = false
    private var lastLoadsMs = Long.MIN_VALUE / 2
    private var gossipLoads = emptyList<AssignedLoad>()
    private var gossipLoadsMs = Long.MIN_VALUE / 2
    private var lastFetchMs = Long.MIN_VALUE / 2

    /** Accepted configuration with the highest version known to this VM; null if none is known. */
    public var document: Document? = null
        private set

    /** Returns what this VM can prove about the accepted configuration; null unless it is the leader of the store. */
    public var leaderProof: () -> LeaderProof? = { null }

    /** Control VMs known to this one, without itself. */
    public val otherControlVms: Set<VmId> get() = controlVms.all

    /** Number of entry VMs that have subscribed recently. */
    public val entryCount: Int get() = entries.size

    /** Number of streams whose origin is recorded. */
    public val originCount: Int get() = origins.size

    /** Number of known backend servers that have not ended. */
    public val serverCount: Int get() = table.all.count { it.state != BackendState.GONE }

    /** Requests that wait for capacity of each service, and what was decided. */
    public val capacityStatus: List<CapacityStatus> get() = capacity.status

    /** Sets what the configuration in force says about the capacity of services. */
    public fun setCapacityRules(rules: CapacityRules) {
        view.rules = rules
    }

    private fun lowerControlVms() = controlVms.reachable(clock.monotonicMs()).filter { it < self }

    /** Returns the loads that the VM that held the queue has stated, until all entry VMs have reported to this VM. */
    private fun loadsOfEarlierQueue(): List<AssignedLoad> {
        val now = clock.monotonicMs()
        val isNew = now - capacity.holderSinceMs < TICK_MS + LOAD_TICK_MS
        return if (isNew && now - gossipLoadsMs < GOSSIP_LOADS_MAX_AGE_MS) gossipLoads else emptyList()
    }

    /** Returns the engines of the service [name], each with the load of all entry VMs and [memoryTokens] of memory. */
    public fun engines(name: ServiceName, memoryTokens: Int): List<EngineLoad> {
        val isGossipFresh = clock.monotonicMs() - gossipLoadsMs < GOSSIP_LOADS_MAX_AGE_MS
        val loadById = loads.sums.ifEmpty { if (isGossipFresh) gossipLoads else emptyList() }.associateBy { it.id }
        return table.all.filter { it.service == name && it.state != BackendState.GONE }
            .map { EngineLoad(it, loadById[it.id] ?: AssignedLoad(it.id), memoryTokens) }
    }

    /** Balances and modes of all customers; empty on a control VM that does not issue quotas. */
    public val quotaStandings: List<QuotaStanding> get() = quotas.standings

    /** Sets the quotas of customers in the configuration in force. */
    public fun updateQuotas(changed: List<CustomerQuota>): Unit = quotas.update(changed, clock.monotonicMs())

    /** Sets the control VMs that are listed in the settings. */
    public fun setSeeds(seeds: Set<VmId>) {
        controlVms.seeds = seeds
    }

    /**
     * Applies the heartbeat [row] of a backend server and forwards it to control VMs and entry VMs. While this VM
     * recovers, it holds back heartbeats of servers that take new work.
     *
     * @return whether it was applied or is held; if not, the server should turn to another control VM.
     */
    public fun onHeartbeat(row: BackendRow): Boolean {
        if (isRecovering && row.acceptsWork) return hold(row)
        if (row.acceptsWork) table.onReturn(row)
        publish(row)
        return true
    }

    private fun hold(row: BackendRow): Boolean {
        val held = heldHeartbeats[row.id]
        if (held == null || row.isNewerThan(held)) heldHeartbeats[row.id] = row
        return clock.monotonicMs() - startMs < MAX_HOLD_MS
    }

    private fun publish(row: BackendRow) {
        val changed = table.merge(row, "heartbeat")
        val message = FleetMessage.Servers(listOf(row))
        controlVms.all.forEach { sender.send(it, message) }
        notifyEntries(changed)
    }

    /** Returns whether no newer row of its server contradicts the departure [row]. */
    public fun isInForce(row: BackendRow): Boolean = table.isInForce(row)

    /** Returns whether the departure [row] is recorded, so that it survives the loss of processes and disks. */
    public fun isRecorded(row: BackendRow): Boolean = table.isRecorded(row)

    /** Adopts the departures [rows] that the store has recorded, and tells the entry VMs those that are news. */
    public fun onDepartures(rows: List<BackendRow>) {
        rows.forEach(table::recordDeparture)
        notifyEntries(rows.flatMap { table.merge(it, "store") })
    }

    /** Ends the recovery of this VM, to which all departures are known now. */
    public fun onDeparturesComplete() {
        isRecovering = false
        heldHeartbeats.values.forEach(::onHeartbeat)
        heldHeartbeats.clear()
    }

    /** Records that the server [id] has said in an answer to this VM that it leaves, and tells the other VMs. */
    public fun onDeparting(id: ServerId) {
        table[id]?.takeIf { !it.departing }?.let { publish(it.copy(departing = true)) }
    }

    /** Returns the row of the server [id], or null if it is unknown. */
    public fun find(id: ServerId): BackendRow? = table[id]

    /** Adopts the configuration [accepted] if it is newer than the known one, and announces its version. */
    public fun onDocument(accepted: Document) {
        if (accepted.version <= (document?.version ?: 0)) return
        document = accepted
        val notice = notice()
        entries.keys.forEach { sender.send(it, notice) }
        sendGossip()
    }

    /** Handles [message] from the VM [from]. */
    public fun receive(from: VmId, message: FleetMessage) {
        val now = clock.monotonicMs()
        when (message) {
            is FleetMessage.Subscribe -> onSubscribe(from, message, now)
            is FleetMessage.Gossip -> onGossip(from, message, now)
            is FleetMessage.Servers -> notifyEntries(message.rows.flatMap { table.merge(it, from.value) })
            is FleetMessage.Fetch -> onFetch(from, message)
            is FleetMessage.Configuration -> onDocument(message.document)
            is FleetMessage.LocalLoad -> onLocalLoad(from, message)
            is FleetMessage.Suspect -> onSuspect(from, message.server, now)
            is FleetMessage.Crashes -> onCrashes(from, message.records, now)
            is FleetMessage.Limits -> onLimits(from, message.statements, now)
            is FleetMessage.PermitMessage -> onPermits(from, message, now)
            is FleetMessage.QuotaMessage -> quotas.receive(from, message, now)
            is FleetMessage.OriginMessage -> origins.receive(message, table.all, now)?.let { sender.send(from, it) }
            is FleetMessage.Unreached -> onUnreached(from, message, now)
            is FleetMessage.CapacityMessage -> capacity.receive(from, message)
            is FleetMessage.Notice, is FleetMessage.PeerLoad, is FleetMessage.Pause,
            is FleetMessage.ForwardPeersReply,
            -> Unit
        }
    }

    private fun onPermits(from: VmId, message: FleetMessage.PermitMessage, now: Long) = when (message) {
        is FleetMessage.PermitRequest -> {
            onLimits(from, listOf(message.limit), now)
            permits.onRequest(from, message, now)
        }
        is FleetMessage.Permits -> permits.passOn(message)
    }

    private fun onFetch(from: VmId, message: FleetMessage.Fetch) {
        val newer = document?.takeIf { it.version > message.above } ?: return
        sender.send(from, FleetMessage.Configuration(newer))
    }

    private fun onLocalLoad(from: VmId, message: FleetMessage.LocalLoad) {
        // Entry VMs choose engines by the load of others, and learn from the queue whether plain servers have capacity.
        val changes = loads.report(from, message.loads.filter { table[it.id]?.kind != ServerKind.PLAIN })
        areLoadsChanged = areLoadsChanged || changes.isNotEmpty()
        capacity.onLocalLoad(from, message)
        if (message.question <= 0) return
        sender.send(from, FleetMessage.PeerLoad(loads.changesFor(from, all = false), message.question))
    }

    private fun onSuspect(from: VmId, server: ServerId, now: Long) {
        if (suspicions.report(server, from, now)) sendPause(server, SuspicionTracker.PAUSE_MS)
    }

    private fun onUnreached(from: VmId, message: FleetMessage.Unreached, now: Long) {
        val subscribers = entries.map { (vm, entry) ->
            ForwardPeerIssuer.Subscriber(vm, entry.dataCentre, entry.seenMs)
        }
        forwardPeers.onUnreached(from, message, subscribers, now).forEach { sender.send(from, it) }
    }

    /** Sends the periodic messages and marks silent servers. Must be called every [TICK_MS] milliseconds. */
    public fun tick() {
        val now = clock.monotonicMs()
        controlVms.tick(now)
        entries.filterValues { now - it.seenMs > ENTRY_TIMEOUT_MS }.keys.forEach { vm ->
            entries -= vm
            loads.remove(vm)
        }
        suspicions.tick(now)
        forwardPeers.tick(now)
        view.tick(now)
        capacity.tick()
        sendLoads(all = true)
        sendGossip()
        notifyEntries(table.markSilent(now))
        table.removeExpired(now)
    }

    /** Sends changed loads to the entry VMs if that is due. Must be called every [LOAD_TICK_MS] milliseconds. */
    public fun tickLoads() {
        val intervalMs = entries.size * LOAD_INTERVAL_PER_ENTRY_MS
        if (areLoadsChanged && clock.monotonicMs() - lastLoadsMs >= intervalMs) sendLoads(all = false)
        permits.issue(clock.monotonicMs())
        quotas.tick(entries.keys, clock.monotonicMs())
        capacity.advance()
    }

    /** Tells the entry VMs that the engine [server] accepts no work for [forMs] milliseconds. */
    public fun sendPause(server: ServerId, forMs: Long) {
        view.pause(server, clock.monotonicMs() + forMs)
        val message = FleetMessage.Pause(server, forMs)
        entries.keys.forEach { sender.send(it, message) }
    }

    private fun sendLoads(all: Boolean) {
        areLoadsChanged = false
        lastLoadsMs = clock.monotonicMs()
        entries.keys.forEach { vm ->
            val changes = loads.changesFor(vm, all)
            if (changes.isNotEmpty()) sender.send(vm, FleetMessage.PeerLoad(changes))
        }
    }

    private fun onSubscribe(from: VmId, message: FleetMessage.Subscribe, now: Long) {
        val entry = entries.getOrPut(from) { Peer(0, 0, now) }
        entry.seenMs = now
        entry.version = message.version
        message.speeds?.let { entry.speeds = it }
        message.dataCentre?.let { entry.dataCentre = it }
        // An entry VM that sends its speeds gets those of all.
        val speeds = message.speeds?.let { ReadSpeed.combine(entries.values.flatMap(Peer::speeds)) }
        val stated = if (message.speeds == null) null else limits.statements(now).ifEmpty { null }
        sender.send(from, notice().copy(speeds = speeds?.ifEmpty { null }, limits = stated).prove(message.number))
        quotas.onSubscribe(from, now)
        sendFullTable(from, entry, message.digest, now)
        sendAllCrashes(from, entry, message.crashDigest, now)
    }

    /** Sends all crashes to [to] if its digest differs. The rate is limited as for the table of servers. */
    private fun sendAllCrashes(to: VmId, entry: Peer, digest: Long, now: Long) {
        if (digest == crashes.digest(now) || crashes.isEmpty || now - entry.crashesMs < FULL_TABLE_INTERVAL_MS) return
        entry.crashesMs = now
        sender.send(to, FleetMessage.Crashes(crashes.records(now)))
    }

    /** Merges [records] and passes those that are news to the other entry VMs. */
    private fun onCrashes(from: VmId, records: List<CrashRecord>, now: Long) {
        val changed = records.mapNotNull { crashes.merge(it, now) }
        if (changed.isEmpty()) return
        changed.forEach { log.write(FleetLogEvent.CrashLearned(it, from.value, crashes.size)) }
        val message = FleetMessage.Crashes(changed)
        entries.keys.filter { it != from }.forEach { sender.send(it, message) }
    }

    /** Merges [statements] and passes those that change a limit to the other entry VMs. */
    private fun onLimits(from: VmId, statements: List<LimitStatement>, now: Long) {
        val changed = statements.filter { limits.merge(it, now) }
        if (changed.isEmpty()) return
        changed.forEach { log.write(FleetLogEvent.LimitChanged(it, from.value)) }
        val message = FleetMessage.Limits(changed)
        entries.keys.filter { it != from }.forEach { sender.send(it, message) }
    }

    private fun onGossip(from: VmId, message: FleetMessage.Gossip, now: Long) {
        controlVms.onMessage(from, message.controls, now)
        if (message.loads.isNotEmpty()) {
            gossipLoads = message.loads
            gossipLoadsMs = now
        }
        val control = controls.getOrPut(from) { Peer(0, 0, now) }
        sendFullTable(from, control, message.digest, now)
        if (message.version > (document?.version ?: 0) && now - lastFetchMs > FETCH_RETRY_MS) {
            lastFetchMs = now
            sender.send(from, FleetMessage.Fetch(document?.version ?: 0))
        }
    }

    /** Sends all rows to [to] if its digest differs. The rate is limited, since two VMs may differ for a long time. */
    private fun sendFullTable(to: VmId, entry: Peer, digest: Long, now: Long) {
        if (digest == table.digest() || now - entry.tableMs < FULL_TABLE_INTERVAL_MS || table.all.isEmpty()) return
        entry.tableMs = now
        sender.send(to, FleetMessage.Servers(table.all.toList()))
    }

    private fun notifyEntries(changed: List<BackendRow>) {
        if (changed.isEmpty()) return
        view.onServersChanged()
        val message = FleetMessage.Servers(changed)
        entries.keys.forEach { sender.send(it, message) }
    }

    private fun sendGossip() {
        val now = clock.monotonicMs()
        val gossip = FleetMessage.Gossip(document?.version ?: 0, table.digest(), controlVms.reachable(now), loads.sums)
        controlVms.all.forEach { sender.send(it, gossip) }
    }

    /** Adds a proof for the subscription [number], unless this VM has yet to adopt the version that it would prove. */
    private fun FleetMessage.Notice.prove(number: Long): FleetMessage.Notice {
        if (number == 0L) return this
        val proof = leaderProof()?.takeIf { it.version <= version } ?: return this
        return copy(answered = number, ageMs = proof.ageMs)
    }

    private fun notice() = FleetMessage.Notice(
        document?.version ?: 0,
        controlVms.reachable(clock.monotonicMs()) + self,
        entries.size,
        crashDigest = crashes.digest(clock.monotonicMs()),
    )

    /** Intervals at which the owner must call [tick] and [tickLoads]. */
    public companion object {
        /** Interval of [tick] in milliseconds. Several intervals fit in the time limit for a change to take effect. */
        public const val TICK_MS: Long = 500

        /** Interval of [tickLoads] in milliseconds; most requests to one engine are further apart than this. */
        public const val LOAD_TICK_MS: Long = 30

        /**
         * Minimum interval of changed loads in milliseconds for each entry VM, so that their number per second does not
         * grow with the fleet. A VM that places a generation gets the current loads with its confirmation.
         */
        private const val LOAD_INTERVAL_PER_ENTRY_MS = 1L

        /** Loads received from another control VM are ignored after this time. */
        private const val GOSSIP_LOADS_MAX_AGE_MS = 1_500L

        /** An entry VM that has sent nothing for this long no longer counts towards shared budgets. */
        private const val ENTRY_TIMEOUT_MS = 3_000L

        /** Minimum time between two full tables sent to the same VM. */
        private const val FULL_TABLE_INTERVAL_MS = 2_000L

        /** An unanswered fetch is repeated after this time. */
        private const val FETCH_RETRY_MS = 300L

        /** Longer than an election and the replay of the log; then servers are sent to other control VMs. */
        private const val MAX_HOLD_MS = 5_000L
    }
}
