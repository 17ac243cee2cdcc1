package gentiandale.fleet

import gentiandale.core.Clock
import gentiandale.core.VmId
import gentiandale.core.log.EventLog
import gentiandale.state.Document
import gentiandale.state.RaftStore
import gentiandale.state.StoreCommand
import gentiandale.state.StoreOpenResult
import gentiandale.state.StoreReply
import gentiandale.state.SubmitOutcome
import gentiandale.state.log.DiskFolder
import gentiandale.state.raft.RaftSettings
import gentiandale.state.raft.ReplicaSettings
import gentiandale.state.raft.VoterReplacementPolicy
import gentiandale.wire.PeerNode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.io.IOException
import java.nio.file.Path

/** What became of an operator's configuration. */
public sealed interface PutOutcome {
    /** It is accepted, or one with the version [version], at least as high, was before. */
    public data class Stored(val version: Long) : PutOutcome

    /** It may or may not be accepted. */
    public data class Unclear(val reason: String) : PutOutcome
}

/**
 * Runs the agreed store on a data folder that may fail: after an error of the disk the folder is opened again until
 * that succeeds.
 *
 * @param founders VMs that found the group at the very first start.
 * @param mayFound whether this is the very first start.
 * @param tolerated voters that may be lost at once.
 * @param onDocument called with each accepted configuration.
 */
public class StoreKeeper(
    private val node: PeerNode,
    private val folder: Path,
    private val founders: List<VmId>,
    private val mayFound: Boolean,
    private val tolerated: Int,
    private val clock: Clock,
    private val log: EventLog,
    private val onDocument: (Document) -> Unit,
) {
    @Volatile
    private var current: RaftStore? = null

    @Volatile
    private var contacts: Set<VmId> = emptySet()

    /** The store, or null while the data folder can't be used. */
    public val store: RaftStore? get() = current

    /** Sets the other control VMs that are known. */
    public fun meet(present: Set<VmId>) {
        contacts = present
        current?.setContacts(present)
    }

    /** Opens the store and keeps it open until [scope] ends. */
    public fun start(scope: CoroutineScope) {
        scope.launch { while (isActive) runOnce() }
    }

    /** Submits the configuration [document], for at most [timeoutMs] milliseconds. */
    public suspend fun put(document: Document, timeoutMs: Long): PutOutcome =
        submit(StoreCommand.PutDocument(NAME, document, 0), timeoutMs)

    /** Returns the version in force, confirmed by a majority. */
    public suspend fun currentVersion(
        timeoutMs: Long,
    ): PutOutcome = submit(StoreCommand.ReadDocument(NAME, 0), timeoutMs)

    private suspend fun submit(command: StoreCommand, timeoutMs: Long): PutOutcome {
        val open = current ?: return PutOutcome.Unclear("The data folder can't be used.")
        return when (val outcome = open.submit(command, timeoutMs)) {
            is SubmitOutcome.Done -> (outcome.reply as? StoreReply.DocumentAt)?.let { PutOutcome.Stored(it.version) }
                ?: PutOutcome.Unclear("Unexpected reply ${outcome.reply}.")
            is SubmitOutcome.NotAccepted -> PutOutcome.Unclear(outcome.reason)
            is SubmitOutcome.NotKnown -> PutOutcome.Unclear(outcome.reason)
        }
    }

    private suspend fun runOnce() {
        val opened = open()
        if (opened != null) {
            log.write(FleetEvent.StoreOpened(opened.status.value?.appliedIndex ?: 0))
            current = opened
            opened.setContacts(contacts)
            opened.start()
            watch(opened)
            current = null
            log.write(FleetEvent.StoreFailed("the store has stopped"))
            opened.close()
        }
        delay(REOPEN_MS)
    }

    private suspend fun watch(opened: RaftStore) = coroutineScope {
        val reader = launch {
            opened.documents.collect { documents -> documents[NAME]?.let(onDocument) }
        }
        while (opened.isRunning) delay(WATCH_MS)
        reader.cancel()
    }

    private fun open(): RaftStore? = try {
        val disk = DiskFolder(folder)
        when (val opening = RaftStore.open(node, founders, disk, clock, settings())) {
            is StoreOpenResult.Opened -> opening.store
            is StoreOpenResult.Refused -> {
                disk.close()
                log.write(FleetEvent.StoreFailed(opening.reason))
                null
            }
        }
    } catch (e: IOException) {
        log.write(FleetEvent.StoreFailed(e.message ?: e.toString()))
        null
    }

    private fun settings() = ReplicaSettings(
        raft = RaftSettings(),
        snapshotEntries = SNAPSHOT_ENTRIES,
        keptEntries = KEPT_ENTRIES,
        mayFound = mayFound,
        voterReplacement = VoterReplacementPolicy(target = 2 * tolerated + 1),
    )

    private companion object {
        const val NAME = "configuration"
        const val REOPEN_MS = 500L
        const val WATCH_MS = 200L

        /** A configuration has up to some hundred kilobytes, and all kept entries are in memory. */
        const val SNAPSHOT_ENTRIES = 64L
        const val KEPT_ENTRIES = 16L
    }
}
