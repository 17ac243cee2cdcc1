package gentiandale.fleet

import gentiandale.core.SystemClock
import gentiandale.core.VmId
import gentiandale.core.log.EventLog
import gentiandale.core.log.LogEvent
import gentiandale.state.Document
import gentiandale.state.log.DiskFolder
import gentiandale.wire.PeerNode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
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

/** A control VM whose data folder can't be used for a while; it is the only voter. */
class StoreKeeperTest {
    @TempDir
    lateinit var base: Path

    private val self = VmId("10.0.0.1")
    private val node = PeerNode(self)
    private val job = Job()
    private val events = CopyOnWriteArrayList<String>()
    private val accepted = CopyOnWriteArrayList<Long>()

    @AfterTest
    fun close() {
        job.cancel()
        node.close()
    }

    @Test
    fun `a folder that can't be opened stops nothing and is opened once it can be`() = runBlocking {
        val folder = base.resolve("data").apply { writeText("a file where the folder should be") }
        val keeper = keeper(folder)
        assertIs<PutOutcome.Unclear>(keeper.put(Document(1, ByteArray(3)), PUT_MS))
        await { "store-failed" in events }
        folder.deleteExisting()
        await { "store-opened" in events }
        assertEquals(PutOutcome.Stored(1), keeper.put(Document(1, ByteArray(3)), PUT_MS))
        await { accepted == listOf(1L) }
    }

    @Test
    fun `a folder that an earlier process still holds is opened when that has ended`() = runBlocking {
        val folder = base.resolve("data")
        val held = DiskFolder(folder)
        val keeper = keeper(folder)
        await { "store-failed" in events }
        assertEquals(null, keeper.store)
        held.close()
        await { "store-opened" in events }
    }

    @Test
    fun `a version that was acknowledged is there after a start on the same folder`() = runBlocking {
        val folder = base.resolve("data")
        val first = keeper(folder, Job(job))
        await { first.store != null }
        assertEquals(PutOutcome.Stored(7), first.put(Document(7, ByteArray(3)), PUT_MS))
        first.store?.close()
        await { events.count { it == "store-opened" } == 2 }
        assertEquals(PutOutcome.Stored(7), first.currentVersion(PUT_MS))
        assertEquals(PutOutcome.Stored(7), first.put(Document(6, ByteArray(3)), PUT_MS))
    }

    private fun keeper(folder: Path, parent: Job = job) = StoreKeeper(
        node = node,
        folder = folder,
        founders = listOf(self),
        mayFound = true,
        tolerated = 0,
        clock = SystemClock,
        log = Log(),
        onDocument = { accepted += it.version },
    ).also { it.start(CoroutineScope(parent + Dispatchers.Default)) }

    private inner class Log : EventLog {
        override fun write(event: LogEvent) {
            events += event.name
        }
    }

    private suspend fun await(condition: () -> Boolean) {
        repeat((LIMIT_MS / STEP_MS).toInt()) {
            if (condition()) return
            delay(STEP_MS)
        }
        error("Not within $LIMIT_MS ms; seen $events.")
    }

    private companion object {
        const val LIMIT_MS = 20_000L
        const val STEP_MS = 20L

        /** Several times an election. */
        const val PUT_MS = 10_000L
    }
}
