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

/** Outcome of opening an [RaftStore]. */
public sealed interface StoreOpenResult {
    /** The store is open and not started yet. */
    public class Opened(public val store: RaftStore) : StoreOpenResult

    /** The data folder is damaged. */
    public data class Refused(public val reason: String) : StoreOpenResult
}

/**
 * Store that the voters agree on, as one VM sees it. On a VM with a data folder it takes part in agreement; on any
 * other it asks the voters.
 *
 * @param voters VMs that have a data folder, this one included if it has one.
 */
public class RaftStore private constructor(
    private val node: PeerNode,
    voters: Collection<VmId>,
    private val clock: Clock,
    replica: Replica?,
    private val log: DurableLog?,
) : ReplicatedStore, AutoCloseable {
    private val current = MutableStateFlow(replica?.store?.configuration() ?: Configuration())
    private val position = MutableStateFlow(replica?.status)
    private val known = MutableStateFlow(voters.toSet())
    private val stored = MutableStateFlow(replica?.store?.documents ?: emptyMap())
    private val loop = replica?.let { ReplicaLoop(it, clock, ::publish) }
    private val client = StoreClient(::candidates, clock, ::call)

    override val configuration: StateFlow<Configuration> = current.asStateFlow()

    /** Position of this VM in the group; null on a VM without a data folder. */
    public val status: StateFlow<ReplicaStatus?> = position.asStateFlow()

    /** VM that leads as far as known here; always null on a VM without a data folder. */
    public val leader: VmId? get() = status.value?.leader

    /** Present term; 0 on a VM without a data folder. */
    public val term: Long get() = status.value?.term ?: 0

    /** Monotonic time in milliseconds when a majority last confirmed [configuration]; null where that is not known. */
    public val confirmedMs: Long?
        get() = status.value?.takeIf { it.membership.isVoter(it.self.voter) }?.confirmedMs

    /** Documents that this VM knows to be accepted. */
    public val documents: StateFlow<Map<String, Document>> = stored.asStateFlow()

    /** Whether this VM takes part in agreement. It does not after its data folder has failed. */
    public val isRunning: Boolean get() = loop?.isRunning ?: false

    /** Sets the other VMs with a data folder that are known to be there. */
    public fun meet(present: Set<VmId>) {
        known.value = present
        loop?.offer { it.contacts = present }
    }

    /** Starts to take part in agreement and to answer other VMs. */
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

    /** Takes a [newer] configuration that another VM knows to be accepted. An older one is ignored. */
    public fun offer(newer: Configuration) {
        current.update { if (newer.revision > it.revision) newer else it }
    }

    override suspend fun submit(command: StoreCommand, timeoutMs: Long): SubmitOutcome =
        client.submit(command, timeoutMs)

    /** Replaces a voter as [wish] says, within [timeoutMs] milliseconds. */
    public suspend fun replaceVoter(wish: VoterReplacement, timeoutMs: Long): VoterOutcome =
        client.replaceVoter(wish, timeoutMs)

    /** Returns the last [limit] changes, the newest first, or null if no leader answers within [timeoutMs]. */
    public suspend fun history(limit: Int, timeoutMs: Long): List<Change>? = client.history(limit, timeoutMs)

    override fun close() {
        loop?.close()
        log?.close()
    }

    /** VMs that may lead or know who does, the likely leader first. */
    private fun candidates(): Collection<VmId> {
        val present = status.value
        val members = present?.membership?.voters.orEmpty().map { it.vm }
        return (listOfNotNull(present?.leader) + members + known.value).distinct()
    }

    private fun publish(replica: Replica) {
        position.value = replica.status
        val newer = replica.store.documents
        if (newer.mapValues { it.value.version } != stored.value.mapValues { it.value.version }) stored.value = newer
        if (replica.store.revision > current.value.revision) offer(replica.store.configuration())
    }

    private suspend fun call(voter: VmId, request: StoreRequest, timeoutMs: Long): StoreAnswer? {
        if (voter == node.self) return answer(request)
        return node.call(voter, Channel.STORE, encodeWire(request), timeoutMs)?.let { decodeWire<StoreAnswer>(it) }
    }

    private suspend fun answer(request: StoreRequest): StoreAnswer {
        val present = status.value
        val running = loop?.takeIf { it.isRunning } ?: return StoreAnswer.Leader(null)
        if (request is StoreRequest.GetLeader || present?.isLeader != true) return StoreAnswer.Leader(present?.leader)
        return when (request) {
            is StoreRequest.Submit -> submitHere(running, request)
            is StoreRequest.ReplaceVoter -> replaceHere(running, request)
            is StoreRequest.History -> historyHere(running, request)
            is StoreRequest.GetLeader -> StoreAnswer.Leader(present.leader)
        }
    }

    private suspend fun submitHere(running: ReplicaLoop, request: StoreRequest.Submit): StoreAnswer {
        val outcome = running.ask<SubmitOutcome>(request.timeoutMs) { replica, result ->
            replica.submit(request.command, clock.monotonicMs(), clock.wallMs()) { result.complete(it) }
        }
        return when (outcome) {
            is SubmitOutcome.Done -> StoreAnswer.Done(outcome.reply)
            is SubmitOutcome.NotAccepted -> StoreAnswer.NotAccepted(outcome.reason)
            is SubmitOutcome.NotKnown -> StoreAnswer.NotKnown(outcome.reason)
            null -> StoreAnswer.NotKnown("No majority has answered in time.")
        }
    }

    private suspend fun replaceHere(running: ReplicaLoop, request: StoreRequest.ReplaceVoter): StoreAnswer {
        val outcome = running.ask<VoterOutcome>(request.timeoutMs) { replica, result ->
            replica.replaceVoter(VoterReplacement(request.add, request.remove)) { result.complete(it) }
        }
        return StoreAnswer.Voters(outcome ?: VoterOutcome.NotKnown("The replacement takes longer."))
    }

    private suspend fun historyHere(running: ReplicaLoop, request: StoreRequest.History): StoreAnswer {
        val changes = running.ask<List<Change>>(HISTORY_MS) { replica, result ->
            result.complete(replica.store.history(request.limit))
        }
        return changes?.let { StoreAnswer.Changes(it) } ?: StoreAnswer.NotKnown("The voter is busy.")
    }

    /** Opens stores. */
    public companion object {
        private const val HISTORY_MS = 1_000L

        /**
         * Opens the store of the VM of [node].
         *
         * @param voters VMs that have a data folder and found the group.
         * @param folder data folder; null on a VM without a disk.
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
            val opening = DurableLog.open(folder) { VoterId(random.nextLong().toULong().toString(RADIX)) }
            return when (opening) {
                is LogOpenResult.Refused -> StoreOpenResult.Refused(opening.reason)
                is LogOpenResult.Opened -> {
                    val now = clock.monotonicMs()
                    val replica =
                        Replica(node.self, voters, opening.log, opening.state, settings, random, now) { to, m ->
                            node.send(to, Channel.AGREEMENT, encodeWire(m))
                        }
                    StoreOpenResult.Opened(RaftStore(node, voters, clock, replica, opening.log))
                }
            }
        }

        private const val RADIX = 36
    }
}
