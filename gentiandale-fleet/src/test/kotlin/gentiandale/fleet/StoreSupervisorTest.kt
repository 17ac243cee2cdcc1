package gentiandale.fleet

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.SystemClock
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServiceName
import gentiandale.core.log.EventLog
import gentiandale.core.log.LogEvent
import gentiandale.state.Document
import gentiandale.state.log.DiskFolder
import gentiandale.wire.PeerNode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.deleteExisting
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Covers a single voter whose data folder is temporarily unusable. */
class StoreSupervisorTest {
    @TempDir
    lateinit var base: Path

    private val self = VmId("10.0.0.1")
    private val node = PeerNode(self)
    private val job = Job()
    private val events = CopyOnWriteArrayList<String>()
    private val accepted = CopyOnWriteArrayList<Long>()
    private val departed = CopyOnWriteArrayList<String>()
    private val supervisors = mutableListOf<StoreSupervisor>()

    /** Stops everything that writes below [base]. Otherwise JUnit can fail to delete the temp directory. */
    @AfterTest
    fun close() = runBlocking {
        // A store that is being opened is available only after the join.
        job.cancelAndJoin()
        supervisors.forEach { it.store?.close() }
        node.close()
    }

    @Test
    fun `an unusable data folder is retried until it can be opened`() = runBlocking {
        val folder = base.resolve("data").apply { writeText("a file where the folder should be") }
        val supervisor = supervisor(folder)
        assertIs<StoreResult.Unconfirmed>(supervisor.put(Document(1, ByteArray(3)), PUT_MS))
        await { "store-failed" in events }
        folder.deleteExisting()
        await { "store-opened" in events }
        assertEquals(StoreResult.Confirmed(1), supervisor.put(Document(1, ByteArray(3)), PUT_MS))
        await { accepted == listOf(1L) }
    }

    @Test
    fun `a data folder locked by another process is opened after its release`() = runBlocking {
        val folder = base.resolve("data")
        val lockedFolder = DiskFolder(folder)
        val supervisor = supervisor(folder)
        await { "store-failed" in events }
        assertEquals(null, supervisor.store)
        lockedFolder.close()
        await { "store-opened" in events }
    }

    @Test
    fun `an acknowledged version survives a restart on the same data folder`() = runBlocking {
        val folder = base.resolve("data")
        val first = supervisor(folder, Job(job))
        await { first.store != null }
        assertEquals(StoreResult.Confirmed(7), first.put(Document(7, ByteArray(3)), PUT_MS))
        first.store?.close()
        await { events.count { it == "store-opened" } == 2 }
        assertEquals(StoreResult.Confirmed(7), first.currentVersion(PUT_MS))
        assertEquals(StoreResult.Confirmed(7), first.put(Document(6, ByteArray(3)), PUT_MS))
    }

    @Test
    fun `a recorded departure survives a restart on the same data folder`() = runBlocking {
        val folder = base.resolve("data")
        val first = supervisor(folder, Job(job))
        await { "departures-complete" in events }
        assertIs<StoreResult.Confirmed>(first.recordDeparture(gone("i-1"), PUT_MS))
        await { "i-1" in departed }
        departed.clear()
        first.store?.close()
        await { events.count { it == "store-opened" } == 2 && "i-1" in departed }
    }

    private fun gone(id: String) = BackendRow(
        id = ServerId(id),
        incarnation = Incarnation(5),
        sequence = 7,
        service = ServiceName("app"),
        address = Address("10.0.0.1", 80),
        dataCentre = DataCentreId("a"),
        state = BackendState.GONE,
        kind = ServerKind.PLAIN,
        places = 6,
    )

    private fun supervisor(folder: Path, parent: Job = job) = StoreSupervisor(
        node = node,
        folder = folder,
        initialVoters = listOf(self),
        isFirstStart = true,
        toleratedLosses = 0,
        clock = SystemClock,
        log = Log(),
        listener = Listener(),
    ).also {
        supervisors += it
        it.start(CoroutineScope(parent + Dispatchers.Default))
    }

    private inner class Listener : StoreListener {
        override fun onDocument(document: Document) {
            accepted += document.version
        }

        override fun onDepartures(rows: List<BackendRow>) {
            departed += rows.map { it.id.value }
        }

        override fun onDeparturesComplete() {
            events += "departures-complete"
        }
    }

    private inner class Log : EventLog {
        override fun write(event: LogEvent) {
            events += event.name
        }
    }

    private suspend fun await(condition: () -> Boolean) {
        repeat((AWAIT_TIMEOUT_MS / POLL_MS).toInt()) {
            if (condition()) return
            delay(POLL_MS)
        }
        error("The condition did not hold within $AWAIT_TIMEOUT_MS ms; log events so far: $events.")
    }

    private companion object {
        const val AWAIT_TIMEOUT_MS = 20_000L
        const val POLL_MS = 20L

        /** Several times the duration of an election. */
        const val PUT_MS = 10_000L
    }
}
