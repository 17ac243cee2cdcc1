package gentiandale.state.log

import gentiandale.state.raft.LogEntry
import gentiandale.state.raft.VoteState
import gentiandale.state.raft.VoterId
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import kotlinx.serialization.SerializationException
import java.io.IOException

/** Recovers the log from a data folder, and refuses the folder if acknowledged entries may be missing. */
internal class LogReader(
    private val folder: DataFolder,
    private val segmentBytes: Long,
    private val newVoter: () -> VoterId,
) {
    private val entries = mutableListOf<LogEntry>()
    private val segments = mutableListOf<Segment>()

    fun open(): LogOpenResult = try {
        folder.list().filter { it.endsWith(TEMPORARY_SUFFIX) }.forEach(folder::delete)
        if (DurableLog.IDENTITY !in folder.list()) create()
        read()
    } catch (e: CorruptFileException) {
        refuse(e.reason)
    } catch (e: IOException) {
        refuse("Cannot read the data folder: ${e.message}")
    }

    private fun refuse(reason: String): LogOpenResult {
        segments.forEach { it.close() }
        return LogOpenResult.Refused(reason)
    }

    /** Creates the files of an empty folder. The identity comes last, so that an interrupted creation is repeated. */
    private fun create() {
        val names = folder.list()
        val used = names.any(Segment::isSegment) || SnapshotFiles.namesIn(names).isNotEmpty()
        val voted = DurableLog.VOTE in names && readVerified<VoteState>(DurableLog.VOTE) != VoteState()
        if (used || voted) corrupt(DurableLog.IDENTITY, "file is missing, but the folder contains a log or a vote")
        folder.replace(DurableLog.VOTE, addChecksum(encodeWire(VoteState())))
        Watermark.create(folder)
        folder.replace(DurableLog.IDENTITY, addChecksum(encodeWire(newVoter())))
    }

    private fun read(): LogOpenResult {
        val voter = readVerified<VoterId>(DurableLog.IDENTITY)
        val vote = readVerified<VoteState>(DurableLog.VOTE)
        val watermark = openWatermark()
        val names = folder.list().sorted()
        val snapshot = SnapshotFiles.namesIn(names).lastOrNull()?.let { readVerified<StoredSnapshot>(it) }
        names.filter(Segment::isSegment).forEach { readSegmentFile(it, names, watermark.lastIndex) }
        val snapshotIndex = snapshot?.index ?: 0
        dropSupersededSegments(snapshot)
        val first = entries.firstOrNull()?.index
        if (first != null && first > snapshotIndex + 1) corrupt(Segment.nameOf(snapshotIndex + 1), "file is missing")
        val last = maxOf(snapshotIndex, entries.lastOrNull()?.index ?: 0)
        val acknowledged = watermark.lastIndex
        if (last < acknowledged) corrupt("log", "ends at entry $last; entries up to $acknowledged were acknowledged")
        markDurable(watermark, last)
        val log = DurableLog(folder, watermark, segments, snapshotIndex, segmentBytes)
        return LogOpenResult.Opened(log, RecoveredState(voter, vote, snapshot, entries.toList()))
    }

    /** Syncs entries that a crashed process wrote but did not sync, because they count as present from now on. */
    private fun markDurable(watermark: Watermark, last: Long) {
        segments.lastOrNull()?.sync()
        watermark.advance(last)
    }

    private fun openWatermark(): Watermark {
        if (Watermark.NAME !in folder.list()) corrupt(Watermark.NAME, "file is missing")
        return Watermark.open(folder) ?: corrupt(Watermark.NAME, "both slots are corrupt")
    }

    private fun readSegmentFile(name: String, names: List<String>, acknowledged: Long) {
        val content = folder.read(name)
        val firstIndex = readHeader(name, content)
        val expected = entries.lastOrNull()?.let { it.index + 1 } ?: firstIndex
        if (firstIndex != expected) corrupt(name, "first entry is $firstIndex, expected $expected")
        val read = readSegment(content, firstIndex)
        val file = folder.open(name)
        if (!read.isIntact) {
            val corruptIndex = firstIndex + read.entries.size
            val isLast = name == names.last(Segment::isSegment)
            if (corruptIndex <= acknowledged || !isLast) {
                file.close()
                corrupt(
                    name,
                    "entry $corruptIndex at byte ${read.end} is corrupt; entries up to $acknowledged were acknowledged",
                )
            }
            file.truncate(read.end)
            file.sync()
        }
        entries += read.entries
        segments += Segment(name, firstIndex, file, read.offsets.toMutableList(), read.end)
    }

    private fun readHeader(name: String, content: ByteArray): Long {
        val index = Segment.indexOf(name) ?: corrupt(name, "no entry index in the file name")
        val size = minOf(content.size, Segment.headerSize(index))
        val header = decodeVerified<Long>(name, content.copyOf(size))
        if (header != index) corrupt(name, "header is of entry $header, expected $index")
        return header
    }

    /** Deletes the segments if [snapshot] replaced the log, that is, if the log conflicts with it or ends before it. */
    private fun dropSupersededSegments(snapshot: StoredSnapshot?) {
        if (snapshot == null) return
        val last = entries.lastOrNull() ?: return
        val match = entries.find { it.index == snapshot.index }
        val continuesSnapshot = match == null && entries.first().index == snapshot.index + 1
        if (continuesSnapshot || match?.term == snapshot.term) return
        if (entries.first().index > snapshot.index && last.index > snapshot.index) return
        segments.forEach {
            it.close()
            folder.delete(it.name)
        }
        folder.sync()
        segments.clear()
        entries.clear()
    }

    private inline fun <reified T> readVerified(name: String): T {
        if (name !in folder.list()) corrupt(name, "file is missing")
        return decodeVerified(name, folder.read(name))
    }

    private inline fun <reified T> decodeVerified(name: String, bytes: ByteArray): T =
        when (val result = verifyChecksum(bytes)) {
            is ChecksumResult.Corrupt -> corrupt(name, result.reason)
            is ChecksumResult.Valid -> try {
                decodeWire<T>(result.content)
            } catch (e: SerializationException) {
                corrupt(name, "cannot be decoded: ${e.message}")
            }
        }

    private fun corrupt(file: String, reason: String): Nothing = throw CorruptFileException("File $file: $reason.")

    private class CorruptFileException(val reason: String) : Exception(reason)
}
