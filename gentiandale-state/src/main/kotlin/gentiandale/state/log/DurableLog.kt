package gentiandale.state.log

import gentiandale.state.raft.LogEntry
import gentiandale.state.raft.VoteState
import gentiandale.state.raft.VoterId
import gentiandale.wire.encodeWire
import java.io.IOException

/** State of a voter as read from its data folder. */
public class RecoveredState(
    public val voter: VoterId,
    public val vote: VoteState,
    public val snapshot: StoredSnapshot?,
    public val entries: List<LogEntry>,
)

/** Result of [DurableLog.open]. */
public sealed interface LogOpenResult {
    /** The folder is intact. A torn tail of entries that were never acknowledged may have been cut off. */
    public class Opened(public val log: DurableLog, public val state: RecoveredState) : LogOpenResult

    /** The folder is corrupt or unreadable. It is not used, because acknowledged entries may be missing. */
    public data class Refused(val reason: String) : LogOpenResult
}

/**
 * Durable log, snapshots and vote of one voter in a [DataFolder]. Each method returns once its effect is durable. After
 * an [IOException] the log must be closed and reopened, because it is unknown how much of the last write is on disk.
 */
public class DurableLog internal constructor(
    private val folder: DataFolder,
    private val watermark: Watermark,
    private val segments: MutableList<Segment>,
    snapshotIndex: Long,
    private val segmentBytes: Long,
) : AutoCloseable {
    private var lastIndex = maxOf(snapshotIndex, segments.lastOrNull()?.lastIndex ?: 0)

    /** Saves [vote], replacing the previous one. */
    @Throws(IOException::class)
    public fun saveVote(vote: VoteState) {
        folder.replace(VOTE, addChecksum(encodeWire(vote)))
    }

    /** Appends [entries] with consecutive indexes, after truncating the log from the first of these indexes on. */
    @Throws(IOException::class)
    public fun append(entries: List<LogEntry>) {
        val first = entries.firstOrNull()?.index ?: return
        if (first <= lastIndex) truncateFrom(first)
        segmentFor(first).append(entries)
        lastIndex = entries.last().index
        watermark.advance(lastIndex)
    }

    /** Saves [snapshot] and deletes the segments that contain only entries before [keepFrom]. */
    @Throws(IOException::class)
    public fun saveSnapshot(snapshot: StoredSnapshot, keepFrom: Long) {
        folder.replace(SnapshotFiles.nameOf(snapshot.index), addChecksum(encodeWire(snapshot)))
        deleteOldSnapshots(snapshot.index)
        while (segments.size > 1 && segments.first().lastIndex < keepFrom) delete(segments.first())
        folder.sync()
    }

    /** Replaces the whole log with [snapshot], received from the leader. */
    @Throws(IOException::class)
    public fun installSnapshot(snapshot: StoredSnapshot) {
        watermark.lower(0)
        folder.replace(SnapshotFiles.nameOf(snapshot.index), addChecksum(encodeWire(snapshot)))
        deleteOldSnapshots(snapshot.index)
        while (segments.isNotEmpty()) delete(segments.last())
        folder.sync()
        lastIndex = snapshot.index
        watermark.advance(lastIndex)
    }

    override fun close() {
        segments.forEach { it.close() }
        watermark.close()
        folder.close()
    }

    private fun segmentFor(index: Long): Segment {
        val last = segments.lastOrNull()
        if (last != null && last.lastIndex + 1 == index && last.bytes < segmentBytes) return last
        return Segment.create(folder, index).also { segments += it }
    }

    private fun truncateFrom(index: Long) {
        watermark.lower(index - 1)
        while (segments.isNotEmpty() && segments.last().firstIndex >= index) delete(segments.last())
        folder.sync()
        segments.lastOrNull()?.takeIf { it.lastIndex >= index }?.truncateFrom(index)
        lastIndex = index - 1
    }

    private fun deleteOldSnapshots(index: Long) {
        SnapshotFiles.namesIn(folder.list()).filter { it < SnapshotFiles.nameOf(index) }.forEach(folder::delete)
    }

    private fun delete(segment: Segment) {
        segment.close()
        folder.delete(segment.name)
        segments.remove(segment)
    }

    /** Opens logs. */
    public companion object {
        /** Default size in bytes at which a new segment is started. */
        public const val SEGMENT_BYTES: Long = 4L * 1_024 * 1_024

        internal const val VOTE = "vote"
        internal const val IDENTITY = "identity"

        /**
         * Opens the log in [folder]. An empty folder gets a new identity from [newVoter].
         *
         * @param segmentBytes size in bytes at which a new segment is started.
         */
        public fun open(
            folder: DataFolder,
            segmentBytes: Long = SEGMENT_BYTES,
            newVoter: () -> VoterId,
        ): LogOpenResult = LogReader(folder, segmentBytes, newVoter).open()
    }
}
