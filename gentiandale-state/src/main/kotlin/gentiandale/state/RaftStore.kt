package gentiandale.state

import gentiandale.core.Clock
import gentiandale.core.Configuration
import gentiandale.core.SystemClock
import gentiandale.core.VmId
import gentiandale.state.log.DataFolder
import gentiandale.state.log.DurableLog
import gentiandale.state.log.LogOpenResult
import gentiandale.state.raft.AgreementMessage
import gentiandale.state.raft.Replica
import gentiandale.state.raft.ReplicaSettings
import gentiandale.state.raft.ReplicaStatus
import gentiandale.state.raft.VoterId
import gentiandale.state.raft.VoterOutcome
import gentiandale.state.raft.VoterReplacement
import gentiandale.wire.Channel
import gentiandale.wire.PeerNode
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.random.asKotlinRandom

/** Result of [RaftStore.open]. */
public sealed interface StoreOpenResult {
    /** The [store] is open but not started. */
    public class Opened(public val store: RaftStore) : StoreOpenResult

    /** The data folder is corrupt or unreadable. */
    public data class Refused(public val reason: String) : StoreOpenResult
}

/**
 * [ReplicatedStore] based on Raft. On a VM with a data folder it runs a [Replica]; on other VMs it is only a client of
 * the voters.
 *
 * @param voters VMs with a data folder, including this one if it has a data folder.
 */
public class RaftStore private constructor(
    private val node: PeerNode,
    voters: Collection<VmId>,
    private val clock: Clock,
    replica: Replica?,
    private val log: DurableLog?,
) : ReplicatedStore, AutoCloseable {
    private val configurationFlow = MutableStateFlow(replica?.store?.configuration() ?: Configuration())
    private val statusFlow = MutableStateFlow(replica?.status)
    private val contacts = MutableStateFlow(voters.toSet())
    private val stored = MutableStateFlow(replica?.store?.documents ?: emptyMap())
    private val departed = MutableStateFlow(replica?.store?.departures ?: Departures())
    private val loop = replica?.let { ReplicaLoop(it, clock, ::publish) }
    private val client = StoreClient(::leaderCandidates, clock, ::call)

    override val configuration: StateFlow<Configuration> = configurationFlow.asStateFlow()

    /** Status of this VM's replica; null on a VM without a data folder. */
    public val status: StateFlow<ReplicaStatus?> = statusFlow.asStateFlow()

    /** Known leader, or null. Always null on a VM without a data folder. */
    public val leader: VmId? get() = status.value?.leader

    /** Current term; 0 on a VM without a data folder. */
    public val term: Long get() = status.value?.term ?: 0

    /** Monotonic time in milliseconds at which a majority last confirmed [configuration]; null if not a voter. */
    public val confirmedMs: Long?
        get() = status.value?.takeIf { it.membership.isVoter(it.self.voter) }?.confirmedMs

    /** Committed documents by name, as known on this VM. */
    public val documents: StateFlow<Map<String, Document>> = stored.asStateFlow()

    /** Committed departures of backend servers, as known on this VM. */
    public val departures: StateFlow<Departures> = departed.asStateFlow()

    /** Whether the replica is running; false without a data folder, after an error or after [close]. */
    public val isRunning: Boolean get() = loop?.isRunning ?: false

    /** Sets the other known VMs with a data folder to [vms]. */
    public fun setContacts(vms: Set<VmId>) {
        contacts.value = vms
        loop?.offer { it.contacts = vms }
    }

    /** Starts the replica and the handlers for requests of other VMs. Does nothing on a VM without a data folder. */
    public fun start() {
        if (loop == null) return
        node.handle(Channel.AGREEMENT) { from, payload ->
            val message = decodeWire<AgreementMessage>(payload)
            loop.offer { it.receive(from, message, clock.monotonicMs()) }
            null
        }
        node.handle(Channel.STORE) { _, payload -> encodeWire(answer(decodeWire<StoreRequest>(payload))) }
        loop.start()
    }

    /** Adopts a committed configuration received from another VM if its revision is [newer]; otherwise ignores it. */
    public fun adoptConfiguration(newer: Configuration) {
        configurationFlow.update { if (newer.revision > it.revision) newer else it }
    }

    override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome =
        client.submit(command, timeoutMs)

    /** Performs the voter replacement [request] and waits up to [timeoutMs] milliseconds for its outcome. */
    public suspend fun replaceVoter(request: VoterReplacement, timeoutMs: Long): VoterOutcome =
        client.replaceVoter(request, timeoutMs)

    /** Returns the last [limit] changes, newest first, or null if no leader answers within [timeoutMs] milliseconds. */
    public suspend fun history(limit: Int, timeoutMs: Long): List<Change>? = client.history(limit, timeoutMs)

    override fun close() {
        loop?.close()
        log?.close()
    }

    /** Returns VMs that may be or know the leader, the known leader first. */
    private fun leaderCandidates(): Collection<VmId> {
        val current = status.value
        val members = current?.membership?.voters.orEmpty().map { it.vm }
        return (listOfNotNull(current?.leader) + members + contacts.value).distinct()
    }

    private fun publish(replica: Replica) {
        val newer = replica.store.documents
        if (newer.mapValues { it.value.version } != stored.value.mapValues { it.value.version }) stored.value = newer
        // After the documents, so that whoever reads the status first gets documents that are at least as new.
        statusFlow.value = replica.status
        if (replica.store.departuresRevision != departed.value.revision) departed.value = replica.store.departures
        if (replica.store.revision > configurationFlow.value.revision) adoptConfiguration(replica.store.configuration())
    }

    private suspend fun call(voter: VmId, request: StoreRequest, timeoutMs: Long): StoreAnswer? {
        if (voter == node.self) return answer(request)
        return node.call(voter, Channel.STORE, encodeWire(request), timeoutMs)?.let { decodeWire<StoreAnswer>(it) }
    }

    private suspend fun answer(request: StoreRequest): StoreAnswer {
        val current = status.value
        val running = loop?.takeIf { it.isRunning } ?: return StoreAnswer.Leader(null)
        if (request is StoreRequest.GetLeader || current?.isLeader != true) return StoreAnswer.Leader(current?.leader)
        return when (request) {
            is StoreRequest.Submit -> submitLocally(running, request)
            is StoreRequest.ReplaceVoter -> replaceLocally(running, request)
            is StoreRequest.History -> readHistoryLocally(running, request)
            is StoreRequest.GetLeader -> StoreAnswer.Leader(current.leader)
        }
    }

    private suspend fun submitLocally(running: ReplicaLoop, request: StoreRequest.Submit): StoreAnswer {
        val outcome = running.execute<SubmitOutcome>(request.timeoutMs) { replica, result ->
            replica.submit(request.command, clock.monotonicMs(), clock.wallMs()) { result.complete(it) }
        }
        return when (outcome) {
            is SubmitOutcome.Done -> StoreAnswer.Done(outcome.reply)
            is SubmitOutcome.NotAccepted -> StoreAnswer.NotAccepted(outcome.reason)
            is SubmitOutcome.NotKnown -> StoreAnswer.NotKnown(outcome.reason)
            null -> StoreAnswer.NotKnown("No majority confirmed the command within ${request.timeoutMs} ms.")
        }
    }

    private suspend fun replaceLocally(running: ReplicaLoop, request: StoreRequest.ReplaceVoter): StoreAnswer {
        val outcome = running.execute<VoterOutcome>(request.timeoutMs) { replica, result ->
            replica.replaceVoter(VoterReplacement(request.add, request.remove)) { result.complete(it) }
        }
        return StoreAnswer.Voters(outcome ?: VoterOutcome.NotKnown("Still running after ${request.timeoutMs} ms."))
    }

    private suspend fun readHistoryLocally(running: ReplicaLoop, request: StoreRequest.History): StoreAnswer {
        val changes = running.execute<List<Change>>(HISTORY_TIMEOUT_MS) { replica, result ->
            result.complete(replica.store.history(request.limit))
        }
        return changes?.let { StoreAnswer.Changes(it) } ?: StoreAnswer.NotKnown("The voter did not answer in time.")
    }

    /** Opens stores. */
    public companion object {
        private const val HISTORY_TIMEOUT_MS = 1_000L

        /**
         * Opens the store of the VM [node].
         *
         * @param voters VMs with a data folder that bootstrap the group.
         * @param folder data folder of this VM; null if it has none.
         */
        public fun open(
            node: PeerNode,
            voters: List<VmId>,
            folder: DataFolder?,
            clock: Clock = SystemClock,
            settings: ReplicaSettings = ReplicaSettings(),
            random: Random = SecureRandom().asKotlinRandom(),
        ): StoreOpenResult {
            if (folder == null) return StoreOpenResult.Opened(RaftStore(node, voters, clock, null, null))
            val result = DurableLog.open(folder) { VoterId(random.nextLong().toULong().toString(RADIX)) }
            return when (result) {
                is LogOpenResult.Refused -> StoreOpenResult.Refused(result.reason)
                is LogOpenResult.Opened -> {
                    val now = clock.monotonicMs()
                    val replica =
                        Replica(node.self, voters, result.log, result.state, settings, random, now) { to, m ->
                            node.send(to, Channel.AGREEMENT, encodeWire(m))
                        }
                    StoreOpenResult.Opened(RaftStore(node, voters, clock, replica, result.log))
                }
            }
        }

        private const val RADIX = 36
    }
}
