package gentiandale.fleet

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ManualClock
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.VmId
import gentiandale.core.backend.AssignedLoad
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.BackendTable
import gentiandale.core.backend.CrashId
import gentiandale.core.backend.CrashRecord
import gentiandale.core.backend.CrashTable
import gentiandale.core.backend.ForwardPeer
import gentiandale.core.backend.LimitStatement
import gentiandale.core.backend.QuarantineVerdict
import gentiandale.core.backend.ReadSpeed
import gentiandale.core.backend.RequestTrait
import gentiandale.core.backend.ServiceName
import gentiandale.core.customer.QuotaAnswer
import gentiandale.core.log.EventLog
import gentiandale.state.Document
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire

/** Control VMs and entry VMs in virtual time, with links that can be cut. */
abstract class VirtualFleet {
    class EntryVm(
        val id: VmId,
        clock: ManualClock,
        sender: FleetSender,
        dataCentre: DataCentreId,
    ) : SubscriberState {
        val table = BackendTable()
        var peerLoads = mapOf<ServerId, AssignedLoad>()
        override var version = 0L
        override val digest get() = table.digest()
        override var localLoad = emptyList<AssignedLoad>()
        val subscriber = FleetSubscriber(id, dataCentre, clock, sender, this, EventLog.NONE)
            .apply { takesForwardedRequests = true }

        override fun applyConfiguration(document: Document, source: VmId): Boolean {
            version = document.version
            return true
        }

        override fun merge(row: BackendRow) = table.merge(row)

        var entryCounts = ArrayList<Int>()

        override fun setEntryCount(count: Int) {
            entryCounts += count
        }

        override fun updatePeerLoads(loads: List<AssignedLoad>) {
            peerLoads = peerLoads + loads.associateBy { it.id }
        }

        override var readSpeeds = emptyList<ReadSpeed>()
        var sharedSpeeds = emptyList<ReadSpeed>()

        override fun updateReadSpeeds(speeds: List<ReadSpeed>) {
            sharedSpeeds = speeds
        }

        private val crashes = CrashTable()
        private val now = clock::monotonicMs
        override val crashDigest get() = crashes.digest(now())
        override val crashRecords get() = crashes.records(now())

        override fun mergeCrashes(records: List<CrashRecord>) {
            records.forEach { crashes.merge(it, now()) }
        }

        /** Records a crash that this VM has seen, and tells the other VMs. */
        fun report(id: CrashId, parts: List<RequestTrait>) =
            subscriber.reportCrashes(listOfNotNull(crashes.onCrash(id, parts, now())))

        /** Records that an engine has answered [parts], and tells the other VMs. */
        fun clear(parts: List<RequestTrait>) = subscriber.reportCrashes(crashes.onAnswered(parts, now()))

        /** Records that this VM sends a request as a trial of [trait], and tells the other VMs. */
        fun startTrial(trait: RequestTrait) = subscriber.reportCrashes(crashes.onTrial(trait, now()))

        /** Returns whether this VM keeps requests with [parts] away from engines. */
        fun refuses(parts: List<RequestTrait>) = crashes.verdict(parts, now()) is QuarantineVerdict.Refuse

        /** Limits of servers that this VM knows, and the permits that it has got. */
        val limits = HashMap<ServerId, Double?>()
        var permits = 0

        override fun mergeLimits(statements: List<LimitStatement>) {
            statements.forEach { limits[it.server] = it.perSecond }
        }

        override fun grantPermits(permits: FleetMessage.Permits) {
            this.permits += permits.count
        }

        val quotaAnswers = ArrayList<QuotaAnswer>()

        override fun receiveQuota(answer: QuotaAnswer) {
            quotaAnswers += answer
        }

        override var unreachedServices = emptyList<ServiceName>()
        val forwardPeers = HashMap<ServiceName, List<ForwardPeer>>()

        override fun updateForwardPeers(service: ServiceName, peers: List<ForwardPeer>) {
            forwardPeers[service] = peers
        }

        /** Services whose requests must ask for capacity. */
        var contended = emptySet<ServiceName>()

        override fun updateContention(services: Set<ServiceName>) {
            contended = services
        }

        /** Sets the services of which this VM reaches no server, and tells the control VMs. */
        fun reportUnreached(services: List<ServiceName>) {
            unreachedServices = services
            subscriber.reportUnreached()
        }

        override fun pause(server: ServerId, forMs: Long) = Unit
    }

    protected val clock = ManualClock(1_000)
    protected val cut = HashSet<Set<VmId>>()
    protected val queue = ArrayDeque<Triple<VmId, VmId, ByteArray>>()
    protected val controls = List(4) { VmId("10.0.$it.1") }
    protected val hubs: MutableMap<VmId, ControlHub> = controls.associateWithTo(HashMap(), ::newHub)
    protected val entries = MutableList(3) { newEntry(VmId("10.9.$it.1")) }

    /** Messages that entry VMs have sent. */
    protected val sent = ArrayList<FleetMessage>()

    /** Messages that control VMs have sent. */
    protected val received = ArrayList<FleetMessage>()

    /** Returns a control VM that has just started. */
    protected fun newHub(id: VmId) = ControlHub(id, clock, sender(id), EventLog.NONE, silenceMs = 4_800).also {
        it.setSeeds(controls.take(3).toSet())
    }

    /** Returns an entry VM that has just started. */
    protected fun newEntry(id: VmId, dataCentre: String = "a") = EntryVm(
        id,
        clock,
        sender(id),
        DataCentreId(dataCentre),
    ).also {
        it.subscriber.setSeeds(controls.take(3).toSet())
    }

    protected fun sender(from: VmId) = FleetSender { to, message ->
        if (setOf(from, to) !in cut) queue.addLast(Triple(from, to, encodeWire<FleetMessage>(message)))
    }

    protected fun advance(ms: Long) {
        val end = clock.monotonicMs() + ms
        while (clock.monotonicMs() < end) {
            clock.advance(STEP_MS)
            if (clock.monotonicMs() % ControlHub.TICK_MS == 0L) {
                hubs.values.forEach { it.tick() }
                entries.forEach { it.subscriber.tick() }
            }
            hubs.values.forEach { it.tickLoads() }
            entries.forEach { it.subscriber.tickCapacity() }
            deliver()
        }
    }

    /** Loses, repeats or reorders the messages in transit. */
    protected var disturb: (ArrayDeque<Triple<VmId, VmId, ByteArray>>) -> Unit = { }

    protected fun deliver() {
        while (queue.isNotEmpty()) {
            disturb(queue)
            if (queue.isEmpty()) return
            val (from, to, bytes) = queue.removeFirst()
            val message = decodeWire<FleetMessage>(bytes)
            if (from !in hubs) sent += message else received += message
            hubs[to]?.receive(from, message)
            entries.find { it.id == to }?.subscriber?.receive(from, message)
        }
    }

    protected fun row(sequence: Long, state: BackendState = BackendState.READY) = BackendRow(
        SERVER,
        Incarnation(1),
        sequence,
        ServiceName("e"),
        Address("10.0.0.9", 1),
        DataCentreId("a"),
        state,
        ServerKind.DECODE,
        128,
    )

    protected companion object {
        val SERVER = ServerId("s")
        const val STEP_MS = 50L
    }
}
