package gentiandale.state.log

import gentiandale.state.raft.LogEntry
import gentiandale.state.raft.VoteState
import gentiandale.state.raft.VoterId
import gentiandale.wire.encodeWire
import java.io.IOException

/** What a voter knows after reading its data folder. */
public class RecoveredState(
    public val voter: VoterId,
    public val vote: VoteState,
    public val snapshot: StoredSnapshot?,
    public val entries: List<LogEntry>,
)

/** Outcome of opening a data folder. */
public sealed interface LogOpenResult {
    /** The folder is whole, up to a torn tail that nobody was told of. */
    public class Opened(public val log: DurableLog, public val state: RecoveredState) : LogOpenResult

    /** The folder is damaged and is not used, because acknowledged changes may be missing. */
    public data class Refused(val reason: String) : LogOpenResult
}

/**
 * Log, snapshots and vote of one voter in one [DataFolder]. Each method returns once its effect is durable. After an
 * [IOException] the log must not be used any more: what of the last write is on disk is known only after a
 * restart.
 */
public class DurableLog internal constructor(
    private val folder: DataFolder,
    private val watermark: Watermark,
    private val segments: MutableList<Segment>,
    snapshotIndex: Long,
    private val segmentBytes: Long,
) : AutoCloseable {
    private var lastIndex = maxOf(snapshotIndex, segments.lastOrNull()?.lastIndex ?: 0)

    /** Saves [vote]. */
    @Throws(IOException::class)
    public fun saveVote(vote: VoteState) {
        folder.replace(VOTE, addChecksum(encodeWire(vote)))
    }

    /** Appends [entries], which have consecutive indexes, and removes the entries from the first index on before. */
    @Throws(IOException::class)
    public fun append(entries: List<LogEntry>) {
        val first = entries.firstOrNull()?.index ?: return
        if (first <= lastIndex) truncateFrom(first)
        segmentFor(first).append(entries)
        lastIndex = entries.last().index
        watermark.advance(lastIndex)
    }

    /** Saves [snapshot] and drops the segments that hold only entries before [keepFrom]. */
    @Throws(IOException::class)
    public fun saveSnapshot(snapshot: StoredSnapshot, keepFrom: Long) {
        folder.replace(SnapshotFiles.nameOf(snapshot.index), addChecksum(encodeWire(snapshot)))
        deleteOldSnapshots(snapshot.index)
        while (segments.size > 1 && segments.first().lastIndex < keepFrom) delete(segments.first())
        folder.sync()
    }

    /** Replaces everything by [snapshot], which another voter has sent. */
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

    /** Opens data folders. */
    public companion object {
        /** Size in bytes from which a segment is followed by a new one. */
        public const val SEGMENT_BYTES: Long = 4L * 1_024 * 1_024

        internal const val VOTE = "vote"
        internal const val IDENTITY = "identity"

        /**
         * Opens [folder]. An empty one gets a new identity, made by [newVoter].
         *
         * @param segmentBytes size in bytes from which a segment is followed by a new one.
         */
        public fun open(
            folder: DataFolder,
            segmentBytes: Long = SEGMENT_BYTES,
            newVoter: () -> VoterId,
        ): LogOpenResult = LogReader(folder, segmentBytes, newVoter).open()
    }
}
