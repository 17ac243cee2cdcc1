package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.log.EventLog
import gentiandale.state.Departure
import gentiandale.state.Departures
import gentiandale.state.Document
import gentiandale.state.RaftStore
import gentiandale.state.StoreCommand
import gentiandale.state.StoreOpenResult
import gentiandale.state.StoreReply
import gentiandale.state.SubmitOutcome
import gentiandale.state.log.DiskFolder
import gentiandale.state.raft.GroupFormation
import gentiandale.state.raft.RaftSettings
import gentiandale.state.raft.ReplicaSettings
import gentiandale.state.raft.VoterReplacementPolicy
import gentiandale.wire.PeerNode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.io.IOException
import java.nio.file.Path

/** Result of a write to the store, or of reading the version in force. */
public sealed interface StoreResult {
    /**
     * A majority confirmed [version], of the configuration or of the departures; after a write it is at least as high
     * as the written one.
     */
    public data class Confirmed(val version: Long) : StoreResult

    /** No confirmation arrived; what was written may have been accepted all the same. */
    public data class Unconfirmed(val reason: String) : StoreResult
}

/** Receives what the replicated store has accepted, from a thread of its own. */
public interface StoreListener {
    /** Called with each accepted configuration. */
    public fun onDocument(document: Document)

    /** Called with the departures of backend servers when one was recorded. */
    public fun onDepartures(rows: List<BackendRow>)

    /** Called once after the start, when [onDepartures] has received all that were recorded before it. */
    public fun onDeparturesComplete()
}

/**
 * Runs the replicated store on a data folder. After a disk error it reopens the folder until that succeeds.
 *
 * @param initialVoters VMs that bootstrap the group at its very first start.
 * @param isFirstStart whether this is the very first start of the group.
 * @param toleratedLosses number of voters whose simultaneous loss is tolerated.
 */
public class StoreSupervisor(
    private val node: PeerNode,
    private val folder: Path,
    private val initialVoters: List<VmId>,
    private val isFirstStart: Boolean,
    private val toleratedLosses: Int,
    private val clock: Clock,
    private val log: EventLog,
    private val listener: StoreListener,
) {
    private var areDeparturesComplete = false

    @Volatile
    private var current: RaftStore? = null

    @Volatile
    private var peers: Set<VmId> = emptySet()

    /** The store, or null while the data folder can't be used. */
    public val store: RaftStore? get() = current

    /** Returns what this VM can prove about the accepted configuration, as decided by [issuer], or null. */
    public fun leaderProof(issuer: LeaderProofIssuer): LeaderProof? {
        val open = current
        val status = open?.status?.value
        // Read after the status, so that all versions accepted before its confirmation are known.
        val version = open?.documents?.value?.get(DOCUMENT_NAME)?.version ?: 0
        return issuer.next(version, status?.takeIf { it.isCurrentLeader }?.confirmedMs)
    }

    /** Sets the other known control VMs. */
    public fun setPeers(vms: Set<VmId>) {
        peers = vms
        current?.setContacts(vms)
    }

    /** Opens the store, and reopens it after failures until [scope] is cancelled. */
    public fun start(scope: CoroutineScope) {
        scope.launch { while (isActive) runOnce() }
    }

    /** Submits the configuration [document] and waits for at most [timeoutMs] milliseconds. */
    public suspend fun put(document: Document, timeoutMs: Long): StoreResult =
        submit(StoreCommand.PutDocument(DOCUMENT_NAME, document, 0), timeoutMs)

    /** Returns the version in force, confirmed by a majority, within [timeoutMs] milliseconds. */
    public suspend fun currentVersion(
        timeoutMs: Long,
    ): StoreResult = submit(StoreCommand.ReadDocument(DOCUMENT_NAME, 0), timeoutMs)

    /** Records the departure of the backend server [row] and waits for at most [timeoutMs] milliseconds. */
    public suspend fun recordDeparture(row: BackendRow, timeoutMs: Long): StoreResult =
        submit(StoreCommand.RecordDepartures(listOf(row), 0), timeoutMs)

    private suspend fun submit(command: StoreCommand, timeoutMs: Long): StoreResult {
        val open = current ?: return StoreResult.Unconfirmed("The data folder $folder is not open.")
        return when (val outcome = open.submit(command, timeoutMs)) {
            is SubmitOutcome.Done -> resultOf(outcome.reply)
            is SubmitOutcome.NotAccepted -> StoreResult.Unconfirmed(outcome.reason)
            is SubmitOutcome.NotKnown -> StoreResult.Unconfirmed(outcome.reason)
        }
    }

    private fun resultOf(reply: StoreReply) = when (reply) {
        is StoreReply.DocumentAt -> StoreResult.Confirmed(reply.version)
        is StoreReply.DeparturesAt -> StoreResult.Confirmed(reply.revision)
        else -> StoreResult.Unconfirmed("The store sent an unexpected reply: $reply.")
    }

    private suspend fun runOnce() {
        val opened = open()
        if (opened != null) {
            log.write(FleetLogEvent.StoreOpened(opened.status.value?.appliedIndex ?: 0))
            current = opened
            opened.setContacts(peers)
            opened.start()
            watch(opened)
            current = null
            log.write(FleetLogEvent.StoreFailed("store on $folder stopped; reopening in $REOPEN_DELAY_MS ms"))
            opened.close()
        }
        delay(REOPEN_DELAY_MS)
    }

    private suspend fun watch(opened: RaftStore) = coroutineScope {
        val readers = listOf(
            launch { opened.documents.collect { documents -> documents[DOCUMENT_NAME]?.let(listener::onDocument) } },
            launch { opened.departures.collect { listener.onDepartures(it.rows) } },
            launch { if (!areDeparturesComplete) completeDepartures(opened) },
        )
        while (opened.isRunning) delay(POLL_MS)
        readers.forEach(Job::cancel)
    }

    /** Waits until this replica has applied all departures that were recorded before its start. */
    private suspend fun completeDepartures(opened: RaftStore) {
        val startMs = clock.monotonicMs()
        var revision: Long? = null
        while (revision == null) {
            val read = submit(StoreCommand.RecordDepartures(emptyList(), 0), READ_TIMEOUT_MS)
            revision = (read as? StoreResult.Confirmed)?.version
        }
        val complete = opened.departures.first { it.revision >= revision }
        listener.onDepartures(complete.rows)
        listener.onDeparturesComplete()
        areDeparturesComplete = true
        log.write(FleetLogEvent.DeparturesRead(revision, complete.all.size, clock.monotonicMs() - startMs))
    }

    private val Departures.rows get() = all.map(Departure::row)

    private fun open(): RaftStore? = try {
        val disk = DiskFolder(folder)
        when (val opening = RaftStore.open(node, initialVoters, disk, clock, settings())) {
            is StoreOpenResult.Opened -> opening.store
            is StoreOpenResult.Refused -> {
                disk.close()
                log.write(FleetLogEvent.StoreFailed(opening.reason))
                null
            }
        }
    } catch (e: IOException) {
        log.write(FleetLogEvent.StoreFailed(e.message ?: e.toString()))
        null
    }

    private fun settings() = ReplicaSettings(
        raft = RaftSettings(),
        snapshotEntries = SNAPSHOT_ENTRIES,
        keptEntries = KEPT_ENTRIES,
        formation = if (isFirstStart) GroupFormation.AtFirstStart else GroupFormation.AsRecorded,
        voterReplacement = VoterReplacementPolicy(target = 2 * toleratedLosses + 1),
    )

    private companion object {
        const val DOCUMENT_NAME = "configuration"
        const val REOPEN_DELAY_MS = 500L
        const val POLL_MS = 200L
        const val READ_TIMEOUT_MS = 1_000L

        /** Kept small because entries stay in memory and a configuration can have several hundred kilobytes. */
        const val SNAPSHOT_ENTRIES = 64L
        const val KEPT_ENTRIES = 16L
    }
}
