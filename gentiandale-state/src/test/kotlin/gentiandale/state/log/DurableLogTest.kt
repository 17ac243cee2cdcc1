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

    private fun reread() = opened().state.entries

    @Nested
    inner class Restart {
        @Test
        fun `finds entries, vote and identity again over several segments`() {
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
        fun `replaces a conflicting end across segments`() {
            val log = opened().log
            (1L..20L).forEach { log.append(listOf(entry(it))) }
            log.append(entries(4L..6L, term = 2))
            assertEquals(entries(1L..3L) + entries(4L..6L, term = 2), reread())
        }

        @Test
        fun `drops segments before a snapshot and goes on after it`() {
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
        fun `takes a snapshot of another voter in place of a shorter and of a conflicting log`() {
            val log = opened().log
            log.append(entries(1L..5L))
            log.installSnapshot(snapshot(50, term = 4))
            log.append(listOf(entry(51, 4)))
            assertEquals(listOf(entry(51, 4)), reread())
            log.installSnapshot(snapshot(30, term = 5))
            assertEquals(emptyList(), reread())
        }

        @Test
        fun `keeps files of a real folder and refuses a second user`() {
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
    inner class Damage {
        private fun whole(): MemoryFolder {
            val log = opened(segmentBytes = 1).log
            log.append(entries(1L..2L))
            log.append(entries(3L..4L))
            log.saveVote(VoteState(2, VoterId("other")))
            log.saveSnapshot(snapshot(2), keepFrom = 3)
            log.append(entries(5L..5L))
            return folder
        }

        private fun assertNothingLost(damaged: MemoryFolder, what: String) {
            when (val opening = open(damaged)) {
                is LogOpenResult.Refused -> assertTrue(opening.reason.isNotEmpty())
                is LogOpenResult.Opened -> {
                    assertEquals(entries(3L..5L), opening.state.entries, what)
                    assertEquals(VoteState(2, VoterId("other")), opening.state.vote, what)
                    assertEquals(snapshot(2), opening.state.snapshot, what)
                    assertEquals(VoterId("voter"), opening.state.voter, what)
                }
            }
        }

        @Test
        fun `loses no acknowledged change silently when any file is cut at any byte`() {
            val whole = whole()
            whole.list().forEach { name ->
                repeat(whole.read(name).size) { size ->
                    val damaged = whole.copy().also { it.damage(name) { bytes -> bytes.copyOf(size) } }
                    assertNothingLost(damaged, "$name cut to $size bytes")
                }
            }
        }

        @Test
        fun `loses no acknowledged change silently when any byte of any file is flipped`() {
            val whole = whole()
            whole.list().forEach { name ->
                repeat(whole.read(name).size) { at ->
                    val damaged = whole.copy()
                    damaged.damage(name) { bytes -> bytes.also { it[at] = (it[at].toInt() xor 0x41).toByte() } }
                    assertNothingLost(damaged, "$name flipped at byte $at")
                }
            }
        }

        @Test
        fun `loses no acknowledged change silently when any file is missing`() {
            val whole = whole()
            whole.list().forEach { name ->
                assertNothingLost(whole.copy().also { it.delete(name) }, "$name missing")
            }
        }

        @Test
        fun `names file, entry and byte of a damage in the middle`() {
            whole().damage(Segment.nameOf(3)) { bytes -> bytes.also { it[60] = (it[60] + 1).toByte() } }
            val reason = assertIs<LogOpenResult.Refused>(open()).reason
            assertEquals(
                "File ${Segment.nameOf(3)}: entry 3 at byte 17 is damaged; 5 were acknowledged.",
                reason,
            )
        }

        @Test
        fun `refuses a newer format`() {
            whole().damage(DurableLog.VOTE) { bytes -> bytes.also { it[7] = 2 } }
            val reason = assertIs<LogOpenResult.Refused>(open()).reason
            assertEquals("File vote: it has format 2; this program reads 1.", reason)
        }
    }

    @Nested
    inner class Crash {
        /** Writes until the put-in failure and returns the entries that were acknowledged. */
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
            crashed.failAt = crashed.operations + operation
            val acknowledged = write(log)
            crashed.crash(Random(seed))
            val found = opened(crashed).state.entries
            val where = "failure at operation $operation, seed $seed"
            assertEquals(acknowledged, found.filter { it in acknowledged }, where)
            val submitted = entries(1L..4L) + entries(3L..9L, term = 2)
            assertTrue(submitted.containsAll(found), where)
            assertEquals(found.indices.map { it + 1L }, found.map { it.index }, where)
        }

        @Test
        fun `keeps every acknowledged entry and invents none after a failure of any operation`() {
            for (operation in 1..OPERATIONS) repeat(SEEDS) { crashAt(operation, it) }
        }

        @Test
        fun `is caught by this check if a sync does nothing`() {
            val failures = (0 until SEEDS).count { runCatching { crashAt(OPERATIONS, it, skipSync = true) }.isFailure }
            assertTrue(failures > 0)
        }

        @Test
        fun `makes durable what a restart of the process finds written`() {
            repeat(SEEDS) { seed ->
                val restarted = MemoryFolder()
                val log = opened(restarted).log
                log.append(entries(1L..1L))
                restarted.failAt = restarted.operations + 2
                assertTrue(runCatching { log.append(entries(2L..3L)) }.isFailure)
                restarted.failAt = Int.MAX_VALUE
                assertEquals(entries(1L..3L), opened(restarted).state.entries)
                restarted.crash(Random(seed))
                assertEquals(entries(1L..3L), opened(restarted).state.entries)
            }
        }

        @Test
        fun `survives a crash while the folder is created`() {
            for (operation in 1..OPERATIONS) {
                repeat(SEEDS) { seed ->
                    val crashed = MemoryFolder().also { it.failAt = operation }
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
