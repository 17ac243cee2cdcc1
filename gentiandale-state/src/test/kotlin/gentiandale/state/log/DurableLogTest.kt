package gentiandale.state.log

import gentiandale.core.OperationKey
import gentiandale.state.StoreCommand
import gentiandale.state.StoreSnapshot
import gentiandale.state.raft.GroupId
import gentiandale.state.raft.LogEntry
import gentiandale.state.raft.Membership
import gentiandale.state.raft.Payload
import gentiandale.state.raft.VoteState
import gentiandale.state.raft.VoterId
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.nio.file.Files
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class DurableLogTest {
    private val folder = MemoryFolder()

    private fun entry(index: Long, term: Long = 1) =
        LogEntry(index, term, Payload.Command(StoreCommand.ApplyRecords(OperationKey("k$index-$term"), emptyList(), 0)))

    private fun entries(indexes: LongRange, term: Long = 1) = indexes.map { entry(it, term) }

    private fun snapshot(index: Long, term: Long = 1) =
        StoredSnapshot(index, term, Membership(), StoreSnapshot(revision = index))

    private fun open(from: DataFolder = folder, segmentBytes: Long = SMALL_SEGMENT) =
        DurableLog.open(from, segmentBytes) { VoterId("voter") }

    private fun opened(from: DataFolder = folder, segmentBytes: Long = SMALL_SEGMENT) =
        assertIs<LogOpenResult.Opened>(open(from, segmentBytes))

    private fun recoveredEntries() = opened().state.entries

    @Nested
    inner class Restart {
        @Test
        fun `recovers entries, vote and identity from several segments`() {
            val log = opened().log
            (1L..20L).forEach { log.append(listOf(entry(it))) }
            log.saveVote(VoteState(3, VoterId("other"), GroupId("g")))
            val again = DurableLog.open(folder, SMALL_SEGMENT) { VoterId("new") }
            val state = assertIs<LogOpenResult.Opened>(again).state
            assertEquals(entries(1L..20L), state.entries)
            assertEquals(VoteState(3, VoterId("other"), GroupId("g")), state.vote)
            assertEquals(VoterId("voter"), state.voter)
            assertTrue(folder.list().count(Segment::isSegment) > 1)
        }

        @Test
        fun `replaces a conflicting suffix across segments`() {
            val log = opened().log
            (1L..20L).forEach { log.append(listOf(entry(it))) }
            log.append(entries(4L..6L, term = 2))
            assertEquals(entries(1L..3L) + entries(4L..6L, term = 2), recoveredEntries())
        }

        @Test
        fun `deletes segments before a snapshot and appends after it`() {
            val log = opened().log
            (1L..20L).forEach { log.append(listOf(entry(it))) }
            log.saveSnapshot(snapshot(15), keepFrom = 12)
            log.append(listOf(entry(21)))
            val state = opened().state
            assertEquals(15, state.snapshot?.index)
            assertEquals(21, state.entries.last().index)
            assertTrue(state.entries.first().index in 2..12)
        }

        @Test
        fun `replaces a shorter or conflicting log with an installed snapshot`() {
            val log = opened().log
            log.append(entries(1L..5L))
            log.installSnapshot(snapshot(50, term = 4))
            log.append(listOf(entry(51, 4)))
            assertEquals(listOf(entry(51, 4)), recoveredEntries())
            log.installSnapshot(snapshot(30, term = 5))
            assertEquals(emptyList(), recoveredEntries())
        }

        @Test
        fun `recovers from a folder on disk, which is locked while it is open`() {
            val path = Files.createTempDirectory("log")
            val disk = DiskFolder(path)
            val log = opened(disk).log
            log.append(entries(1L..5L))
            assertTrue(runCatching { DiskFolder(path) }.exceptionOrNull() is IOException)
            log.close()
            assertEquals(entries(1L..5L), opened(DiskFolder(path)).state.entries)
            path.toFile().deleteRecursively()
        }
    }

    @Nested
    inner class Corruption {
        private fun intactFolder(): MemoryFolder {
            val log = opened(segmentBytes = 1).log
            log.append(entries(1L..2L))
            log.append(entries(3L..4L))
            log.saveVote(VoteState(2, VoterId("other")))
            log.saveSnapshot(snapshot(2), keepFrom = 3)
            log.append(entries(5L..5L))
            return folder
        }

        private fun assertNothingLost(corrupted: MemoryFolder, what: String) {
            when (val result = open(corrupted)) {
                is LogOpenResult.Refused -> assertTrue(result.reason.isNotEmpty())
                is LogOpenResult.Opened -> {
                    assertEquals(entries(3L..5L), result.state.entries, what)
                    assertEquals(VoteState(2, VoterId("other")), result.state.vote, what)
                    assertEquals(snapshot(2), result.state.snapshot, what)
                    assertEquals(VoterId("voter"), result.state.voter, what)
                }
            }
        }

        @Test
        fun `detects any loss of acknowledged entries when any file is truncated at any byte`() {
            val intact = intactFolder()
            intact.list().forEach { name ->
                repeat(intact.read(name).size) { size ->
                    val corrupted = intact.copy().also { it.corrupt(name) { bytes -> bytes.copyOf(size) } }
                    assertNothingLost(corrupted, "$name truncated to $size bytes")
                }
            }
        }

        @Test
        fun `detects any loss of acknowledged entries when any byte of any file is changed`() {
            val intact = intactFolder()
            intact.list().forEach { name ->
                repeat(intact.read(name).size) { at ->
                    val corrupted = intact.copy()
                    corrupted.corrupt(name) { bytes -> bytes.also { it[at] = (it[at].toInt() xor 0x41).toByte() } }
                    assertNothingLost(corrupted, "$name changed at byte $at")
                }
            }
        }

        @Test
        fun `detects any loss of acknowledged entries when any file is missing`() {
            val intact = intactFolder()
            intact.list().forEach { name ->
                assertNothingLost(intact.copy().also { it.delete(name) }, "$name missing")
            }
        }

        @Test
        fun `reports file, entry and byte of corruption before the end of the log`() {
            intactFolder().corrupt(Segment.nameOf(3)) { bytes -> bytes.also { it[60] = (it[60] + 1).toByte() } }
            val reason = assertIs<LogOpenResult.Refused>(open()).reason
            assertEquals(
                "File ${Segment.nameOf(3)}: entry 3 at byte 17 is corrupt; entries up to 5 were acknowledged.",
                reason,
            )
        }

        @Test
        fun `refuses a newer format version`() {
            intactFolder().corrupt(DurableLog.VOTE) { bytes -> bytes.also { it[7] = 2 } }
            val reason = assertIs<LogOpenResult.Refused>(open()).reason
            assertEquals("File vote: format version 2, expected 1.", reason)
        }
    }

    @Nested
    inner class Crash {
        /** Writes until the injected failure and returns the acknowledged entries. */
        private fun write(log: DurableLog): List<LogEntry> {
            var acknowledged = emptyList<LogEntry>()

            fun append(added: List<LogEntry>) {
                val kept = acknowledged.filter { it.index < added.first().index }
                acknowledged = kept
                log.append(added)
                acknowledged = kept + added
            }
            try {
                append(entries(1L..3L))
                append(entries(4L..4L))
                append(entries(3L..7L, term = 2))
                log.saveSnapshot(snapshot(5, term = 2), keepFrom = 1)
                append(entries(8L..9L, term = 2))
            } catch (_: IOException) {
                return acknowledged
            }
            return acknowledged
        }

        private fun crashAt(operation: Int, seed: Int, skipSync: Boolean = false) {
            val crashed = MemoryFolder()
            val log = opened(crashed).log
            crashed.skipSync = skipSync
            crashed.failAtOperation = crashed.operations + operation
            val acknowledged = write(log)
            crashed.crash(Random(seed))
            val found = opened(crashed).state.entries
            val where = "injected failure at operation $operation, seed $seed"
            assertEquals(acknowledged, found.filter { it in acknowledged }, where)
            val submitted = entries(1L..4L) + entries(3L..9L, term = 2)
            assertTrue(submitted.containsAll(found), where)
            assertEquals(found.indices.map { it + 1L }, found.map { it.index }, where)
        }

        @Test
        fun `keeps every acknowledged entry and adds no other after a failure of any operation`() {
            for (operation in 1..OPERATIONS) repeat(SEEDS) { crashAt(operation, it) }
        }

        @Test
        fun `check for lost entries detects a sync that does nothing`() {
            val failures = (0 until SEEDS).count { runCatching { crashAt(OPERATIONS, it, skipSync = true) }.isFailure }
            assertTrue(failures > 0)
        }

        @Test
        fun `syncs entries that were written but not synced before a process restart`() {
            repeat(SEEDS) { seed ->
                val restarted = MemoryFolder()
                val log = opened(restarted).log
                log.append(entries(1L..1L))
                restarted.failAtOperation = restarted.operations + 2
                assertTrue(runCatching { log.append(entries(2L..3L)) }.isFailure)
                restarted.failAtOperation = Int.MAX_VALUE
                assertEquals(entries(1L..3L), opened(restarted).state.entries)
                restarted.crash(Random(seed))
                assertEquals(entries(1L..3L), opened(restarted).state.entries)
            }
        }

        @Test
        fun `survives a crash while the folder is created`() {
            for (operation in 1..OPERATIONS) {
                repeat(SEEDS) { seed ->
                    val crashed = MemoryFolder().also { it.failAtOperation = operation }
                    open(crashed)
                    crashed.crash(Random(seed))
                    assertEquals(emptyList(), opened(crashed).state.entries)
                }
            }
        }
    }

    private companion object {
        const val SMALL_SEGMENT = 400L
        const val OPERATIONS = 60
        const val SEEDS = 20
    }
}
