package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.DataCentreId
import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.ForwardPeer
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.ReadSpeed
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.StreamId
import gentiandale.core.backend.StreamOrigin
import gentiandale.core.capacity.CapacityAnswer
import gentiandale.core.capacity.CapacityRequest
import gentiandale.core.customer.ConfigurationLease
import gentiandale.core.customer.QuotaAnswer
import gentiandale.core.customer.QuotaReport
import gentiandale.core.log.EventLog
import gentiandale.state.Document

/** State of an entry VM that a [FleetSubscriber] reads and updates. */
public interface SubscriberState {
    /** Version of the configuration in force; 0 if there is none. */
    public val version: Long

    /** Digest of the table of known backend servers. */
    public val digest: Long

    /** Applies the configuration [document] from the VM [source]; returns whether it came into force. */
    public fun applyConfiguration(document: Document, source: VmId): Boolean

    /** Merges [row] into the table of backend servers and returns the rows that changed. */
    public fun merge(row: BackendRow): List<BackendRow>

    /** Sets the number of entry VMs. */
    public fun setEntryCount(count: Int)

    /** Load that this VM has placed on engines, and its calls in progress at plain servers. */
    public val localLoad: List<AssignedLoad>

    /** Stops placing work on the engine [server] for [forMs] milliseconds. */
    public fun pause(server: ServerId, forMs: Long)

    /** Speeds at which engines have read prompts of this VM. */
    public val readSpeeds: List<ReadSpeed>

    /** Sets the speeds at which engines have read prompts of all entry VMs. */
    public fun updateReadSpeeds(speeds: List<ReadSpeed>)

    /** Updates the load that the other entry VMs have placed on engines. */
    public fun updatePeerLoads(loads: List<AssignedLoad>)

    /** Digest of the known crashes of engines; 0 if there are none. */
    public val crashDigest: Long

    /** Known crashes of engines. */
    public val crashRecords: List<CrashRecord>

    /** Merges what other VMs know about crashes of engines. */
    public fun mergeCrashes(records: List<CrashRecord>)

    /** Merges what servers have said to other VMs about their request limits. */
    public fun mergeLimits(statements: List<LimitStatement>)

    /** Adds permits for requests to a server. */
    public fun grantPermits(permits: FleetMessage.Permits)

    /** Handles [answer] of the control VM that issues the quotas of customers. */
    public fun receiveQuota(answer: QuotaAnswer)

    /** Services of which this VM reaches no server. */
    public val unreachedServices: List<ServiceName>

    /**
     * Sets the entry VMs to which requests of the [service], which this VM doesn't reach, may be forwarded, the best
     * first. There are none if no entry VM reaches the service.
     */
    public fun updateForwardPeers(service: ServiceName, peers: List<ForwardPeer>)

    /** Sets the services whose requests must ask for capacity. Those of other services are placed without asking. */
    public fun updateContention(services: Set<ServiceName>)
}

/**
 * Keeps an entry VM up to date. It subscribes to every known control VM, so one that reaches both this VM and the
 * majority is enough. Not thread-safe: all calls must come from one thread.
 */
public class FleetSubscriber(
    private val self: VmId,
    private val dataCentre: DataCentreId,
    private val clock: Clock,
    private val sender: FleetSender,
    private val state: SubscriberState,
    private val log: EventLog,
) {
    private val controlVms = ControlVmRegistry(self, log)
    private val startedMs = clock.monotonicMs()
    private var lastFetchMs = Long.MIN_VALUE / 2
    private var lastCrashesMs = Long.MIN_VALUE / 2
    private var lastNoticeMs: Long? = null
    private var lastRowsMs: Long? = null
    private var reportedTo: VmId? = null
    private var hasReportedLoad = false

    /** Starts at the time of day, so that a late reply to an earlier process of this VM answers no question. */
    private var lastQuestion = clock.wallMs()
    private var lastReport = clock.wallMs()
    private var tickCount = 0
    private val entryCount = EntryCount()
    private val lookups = OriginLookups(clock, sender)
    private val capacity = CapacityClient(clock, sender, ::reachableControlVms, ::reportLoad, state::updateContention)
    private val forwardPeers = ForwardPeerLists(dataCentre)
    private val quotas = QuotaChannel(controlVms, clock, sender, state)
    private var isUnreachedReported = false
    private val pendingConfirmations = ArrayList<PendingConfirmation>()

    private class PendingConfirmation(val number: Long, val done: () -> Unit)

    /** Lease that subscriptions renew; null if requests need none. */
    public var lease: ConfigurationLease? = null

    /** Whether this VM takes requests that other entry VMs forward. */
    public var takesForwardedRequests: Boolean = false

    /** Time in milliseconds since the last [FleetMessage.Notice] of a control VM; null if there was none yet. */
    public val ageMs: Long? get() = lastNoticeMs?.let { clock.monotonicMs() - it }

    /** Whether rows of servers have arrived, or enough time has passed since the start for them to arrive. */
    public val isSettled: Boolean
        get() = lastRowsMs != null || clock.monotonicMs() - startedMs > SETTLE_TIME_MS

    /** Sets the control VMs that are listed in the settings. */
    public fun setSeeds(seeds: Set<VmId>) {
        controlVms.seeds = seeds
    }

    /** Sends the periodic messages. Must be called every [ControlHub.TICK_MS] milliseconds. */
    public fun tick() {
        controlVms.tick(clock.monotonicMs())
        lookups.tick()
        // Before the subscription, so that a control VM that has just started doesn't take this VM for a peer.
        repeatUnreached()
        val isFull = tickCount++ % SPEED_TICKS == 0
        val message = FleetMessage.Subscribe(
            state.version,
            state.digest,
            speeds = if (isFull) state.readSpeeds else null,
            crashDigest = state.crashDigest,
            dataCentre = dataCentre.takeIf { isFull && takesForwardedRequests },
            number = lease?.onSubscribe() ?: 0,
        )
        controlVms.all.forEach { sender.send(it, message) }
        reportLoad()
    }

    /**
     * Reports the local load at once, and calls [done] when the loads that others reported earlier have arrived. The
     * control VM handles reports one by one, so of two entry VMs that choose the same engine at the same time, the
     * second learns of the first. If no control VM was reachable so far, [done] is called immediately.
     */
    public fun confirmLoad(done: () -> Unit) {
        lastQuestion++
        pendingConfirmations += PendingConfirmation(lastQuestion, done)
        reportLoad(lastQuestion)
        if (reportedTo == null) completeConfirmations(lastQuestion)
    }

    private fun completeConfirmations(question: Long) {
        val answered = pendingConfirmations.filter { it.number <= question }
        pendingConfirmations -= answered.toSet()
        answered.forEach { it.done() }
    }

    /** Reports the local load for the other entry VMs. All entry VMs use the same control VM if they can reach it. */
    public fun reportLoad(): Unit = reportLoad(question = 0)

    private fun reportLoad(question: Long) {
        val aggregator = capacity.queueVm() ?: return
        val loads = state.localLoad
        val taken = capacity.takenGrants()
        val isEmpty = loads.isEmpty() && taken.isEmpty()
        if (isEmpty && aggregator == reportedTo && !hasReportedLoad) return
        reportedTo?.takeIf { it != aggregator }
            ?.let { sender.send(it, FleetMessage.LocalLoad(emptyList(), sequence = ++lastReport)) }
        reportedTo = aggregator
        hasReportedLoad = loads.isNotEmpty()
        sender.send(aggregator, FleetMessage.LocalLoad(loads, question, ++lastReport, taken))
    }

    private fun reachableControlVms() = controlVms.reachable(clock.monotonicMs())

    /**
     * Asks for capacity for [request], and calls [done] once with the answer unless the request is cancelled. Without
     * an answer of a control VM within 150 ms that is [CapacityAnswer.Unanswered]. The request keeps its place in the
     * order when another control VM takes over. May call [done] before it returns.
     */
    public fun requestCapacity(request: CapacityRequest, done: (CapacityAnswer) -> Unit): Unit =
        capacity.request(request, done)

    /** Withdraws the request [number] for capacity of [service], whose caller has left or which has been placed. */
    public fun cancelCapacity(service: ServiceName, number: Long): Unit = capacity.cancel(service, number)

    /** Whether requests wait for capacity. */
    public val awaitsCapacity: Boolean get() = capacity.isAwaited

    /**
     * Repeats and ends requests for capacity. Must be called every [ControlHub.LOAD_TICK_MS] milliseconds while
     * [awaitsCapacity], and with [tick] otherwise.
     */
    public fun tickCapacity(): Unit = capacity.tick()

    /** Reports that [server] does not answer this VM. */
    public fun reportSuspect(server: ServerId) {
        reportedTo?.let { sender.send(it, FleetMessage.Suspect(server)) }
    }

    /** Passes [row], which this VM has learned from an answer of the server, to every known control VM. */
    public fun reportServer(row: BackendRow) {
        val message = FleetMessage.Servers(listOf(row))
        controlVms.all.forEach { sender.send(it, message) }
    }

    /** Passes [records], which this VM has changed, to every known control VM. */
    public fun reportCrashes(records: List<CrashRecord>) {
        val message = FleetMessage.Crashes(records)
        controlVms.all.forEach { sender.send(it, message) }
    }

    /** Passes [statement], which a server has made to this VM, to every known control VM. */
    public fun reportLimit(statement: LimitStatement) {
        val message = FleetMessage.Limits(listOf(statement))
        controlVms.all.forEach { sender.send(it, message) }
    }

    /**
     * Reports that [streams] began at servers of [origin] and may be taken up for [keepMs] milliseconds. A few control
     * VMs record it, so that the loss of all entry VMs and of some control VMs does not lose it.
     */
    public fun reportOrigins(origin: StreamOrigin, streams: List<StreamId>, keepMs: Long) {
        val message = FleetMessage.Origins(origin, streams, keepMs)
        controlVms.reachable(clock.monotonicMs()).sortedBy { rank(it) }.take(ORIGIN_COPIES)
            .forEach { sender.send(it, message) }
    }

    /** Returns a number by which each entry VM prefers other control VMs, so that they share the records. */
    private fun rank(control: VmId) = (control.value + self.value).hashCode()

    /** Asks all control VMs for the origin of [stream] of [service], and calls [done] with the result. */
    public fun findOrigin(stream: StreamId?, service: ServiceName, done: (OriginLookup) -> Unit): Unit =
        lookups.find(stream, service, controlVms.all, done)

    /** Asks for [wanted] permits for the server of [limit]. All entry VMs use the same control VM if they reach it. */
    public fun requestPermits(limit: LimitStatement, wanted: Int) {
        val issuer = controlVms.reachable(clock.monotonicMs()).minOrNull() ?: return
        sender.send(issuer, FleetMessage.PermitRequest(limit, wanted))
    }

    /** Sends [report] to the control VM that issues quotas; returns whether one is reachable. */
    public fun reportQuota(report: QuotaReport): Boolean = quotas.send(report)

    /**
     * Reports the services of which this VM reaches no server to every known control VM. Must be called when they
     * change; they are reported again with each subscription.
     */
    public fun reportUnreached() {
        val services = state.unreachedServices
        forwardPeers.retain(services)
        if (services.isNotEmpty()) isUnreachedReported = true
        val message = FleetMessage.Unreached(services, forwardPeers.digest)
        controlVms.all.forEach { sender.send(it, message) }
    }

    private fun repeatUnreached() {
        val isUnreached = state.unreachedServices.isNotEmpty()
        if (isUnreached || isUnreachedReported) reportUnreached()
        isUnreachedReported = isUnreached
    }

    /** Handles [message] from the control VM [from]. */
    public fun receive(from: VmId, message: FleetMessage) {
        val now = clock.monotonicMs()
        capacity.onMessage(from)
        when (message) {
            is FleetMessage.Notice -> onNotice(from, message, now)
            is FleetMessage.Configuration -> onConfiguration(from, message.document)
            is FleetMessage.Servers -> onServers(from, message.rows, now)
            is FleetMessage.PeerLoad -> if (from == reportedTo) onPeerLoad(message)
            is FleetMessage.Crashes -> state.mergeCrashes(message.records)
            is FleetMessage.Limits -> state.mergeLimits(message.statements)
            is FleetMessage.Permits -> state.grantPermits(message)
            is FleetMessage.QuotaMessage -> quotas.receive(from, message)
            is FleetMessage.Pause -> state.pause(message.server, message.forMs)
            is FleetMessage.OriginAnswer -> lookups.onAnswer(from, message)
            is FleetMessage.ForwardPeersReply -> onPeersReply(from, message, now)
            is FleetMessage.Subscribe, is FleetMessage.Gossip, is FleetMessage.Fetch, is FleetMessage.LocalLoad -> Unit
            is FleetMessage.Suspect, is FleetMessage.PermitRequest, is FleetMessage.Unreached -> Unit
            is FleetMessage.Origins, is FleetMessage.OriginQuestion, is FleetMessage.CapacityReport -> Unit
            is FleetMessage.CapacityReply -> capacity.receive(from, message)
        }
    }

    private fun onPeersReply(from: VmId, message: FleetMessage.ForwardPeersReply, now: Long) = when (message) {
        is FleetMessage.ForwardPeers -> onForwardPeers(from, message, now)
        is FleetMessage.ForwardPeersCurrent -> forwardPeers.onConfirmed(from, message.digest, now)
    }

    private fun onForwardPeers(from: VmId, message: FleetMessage.ForwardPeers, now: Long) {
        if (message.service !in state.unreachedServices) return
        val peers = forwardPeers.onReceived(from, message.service, message.peers, now)
        state.updateForwardPeers(message.service, peers)
    }

    private fun onPeerLoad(message: FleetMessage.PeerLoad) {
        state.updatePeerLoads(message.loads)
        completeConfirmations(message.answered)
    }

    private fun onNotice(from: VmId, notice: FleetMessage.Notice, now: Long) {
        lastNoticeMs = now
        if (notice.answered != 0L) lease?.onProof(notice.answered, notice.version, notice.ageMs)
        controlVms.onMessage(from, notice.controls, now)
        state.setEntryCount(entryCount.onStated(from, notice.entries, now))
        notice.speeds?.let(state::updateReadSpeeds)
        notice.limits?.let(state::mergeLimits)
        // The control VM sends what it knows when the digest of the next subscription differs, too.
        val digest = state.crashDigest
        if (notice.crashDigest != digest && digest != 0L && now - lastCrashesMs > CRASHES_INTERVAL_MS) {
            lastCrashesMs = now
            reportCrashes(state.crashRecords)
        }
        if (notice.version > state.version && now - lastFetchMs > FETCH_RETRY_MS) {
            lastFetchMs = now
            sender.send(from, FleetMessage.Fetch(state.version))
        }
    }

    private fun onConfiguration(from: VmId, document: Document) {
        lastFetchMs = Long.MIN_VALUE / 2
        if (document.version > state.version) state.applyConfiguration(document, from)
    }

    private fun onServers(from: VmId, rows: List<BackendRow>, now: Long) {
        lastRowsMs = now
        rows.forEach { row ->
            state.merge(row).forEach { log.write(FleetLogEvent.ServerChanged(it, from.value)) }
        }
    }

    private companion object {
        /** An unanswered fetch is repeated, at whichever VM announces the version next, after this time. */
        const val FETCH_RETRY_MS = 200L

        /** Minimum time between two reports of all crashes; tables differ after a lost message or a restart. */
        const val CRASHES_INTERVAL_MS = 2_000L

        /** Two of them may be lost. */
        const val ORIGIN_COPIES = 3

        /** Speeds change slowly and data centres never, so that only one message in this many carries them. */
        const val SPEED_TICKS = 4

        /** Servers send a heartbeat about every second; after two of them every reachable server is known. */
        const val SETTLE_TIME_MS = 2_500L
    }
}
