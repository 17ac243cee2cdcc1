package gentiandale.state.log

import gentiandale.state.raft.LogEntry
import gentiandale.state.raft.VoteState
import gentiandale.state.raft.VoterId
import gentiandale.wire.decodeWire
import gentiandale.wire.encodeWire
import kotlinx.serialization.SerializationException
import java.io.IOException

/** Reads a data folder as a whole and refuses it if something acknowledged may be missing. */
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
        refuse("The data folder can't be read: ${e.message}")
    }

    private fun refuse(reason: String): LogOpenResult {
        segments.forEach { it.close() }
        return LogOpenResult.Refused(reason)
    }

    /** Creates the files of an empty folder, the identity last. A crash before that leaves nothing of worth. */
    private fun create() {
        val names = folder.list()
        val used = names.any(Segment::isSegment) || SnapshotFiles.namesIn(names).isNotEmpty()
        val voted = DurableLog.VOTE in names && readVerified<VoteState>(DurableLog.VOTE) != VoteState()
        if (used || voted) corrupt(DurableLog.IDENTITY, "it is missing, though there is a log")
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
        dropSegmentsBefore(snapshot)
        val first = entries.firstOrNull()?.index
        if (first != null && first > snapshotIndex + 1) corrupt(Segment.nameOf(snapshotIndex + 1), "it is missing")
        val last = maxOf(snapshotIndex, entries.lastOrNull()?.index ?: 0)
        val acknowledged = watermark.lastIndex
        if (last < acknowledged) corrupt("log", "it ends at entry $last; $acknowledged were acknowledged")
        confirm(watermark, last)
        val log = DurableLog(folder, watermark, segments, snapshotIndex, segmentBytes)
        return LogOpenResult.Opened(log, RecoveredState(voter, vote, snapshot, entries.toList()))
    }

    /** Makes durable what was only written before a crash of the process: it counts as present from now on. */
    private fun confirm(watermark: Watermark, last: Long) {
        segments.lastOrNull()?.sync()
        watermark.advance(last)
    }

    private fun openWatermark(): Watermark {
        if (Watermark.NAME !in folder.list()) corrupt(Watermark.NAME, "it is missing")
        return Watermark.open(folder) ?: corrupt(Watermark.NAME, "none of its slots is whole")
    }

    private fun readSegmentFile(name: String, names: List<String>, acknowledged: Long) {
        val content = folder.read(name)
        val firstIndex = readHeader(name, content)
        val expected = entries.lastOrNull()?.let { it.index + 1 } ?: firstIndex
        if (firstIndex != expected) corrupt(name, "it begins at entry $firstIndex instead of $expected")
        val read = readSegment(content, firstIndex)
        val file = folder.open(name)
        if (!read.whole) {
            val damagedIndex = firstIndex + read.entries.size
            val isLast = name == names.last(Segment::isSegment)
            if (damagedIndex <= acknowledged || !isLast) {
                file.close()
                corrupt(name, "entry $damagedIndex at byte ${read.end} is damaged; $acknowledged were acknowledged")
            }
            file.truncate(read.end)
            file.sync()
        }
        entries += read.entries
        segments += Segment(name, firstIndex, file, read.offsets.toMutableList(), read.end)
    }

    private fun readHeader(name: String, content: ByteArray): Long {
        val index = Segment.indexOf(name) ?: corrupt(name, "its name has no index")
        val size = minOf(content.size, Segment.headerSize(index))
        val header = decodeVerified<Long>(name, content.copyOf(size))
        if (header != index) corrupt(name, "its header is of entry $header")
        return header
    }

    /** Drops a log that a snapshot of another voter has replaced. */
    private fun dropSegmentsBefore(snapshot: StoredSnapshot?) {
        if (snapshot == null) return
        val last = entries.lastOrNull() ?: return
        val match = entries.find { it.index == snapshot.index }
        val follows = match == null && entries.first().index == snapshot.index + 1
        if (follows || match?.term == snapshot.term) return
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
        if (name !in folder.list()) corrupt(name, "it is missing")
        return decodeVerified(name, folder.read(name))
    }

    private inline fun <reified T> decodeVerified(name: String, bytes: ByteArray): T =
        when (val result = verifyChecksum(bytes)) {
            is ChecksumResult.Corrupt -> corrupt(name, result.reason)
            is ChecksumResult.Valid -> try {
                decodeWire<T>(result.content)
            } catch (e: SerializationException) {
                corrupt(name, "its content is not understood: ${e.message}")
            }
        }

    private fun corrupt(file: String, reason: String): Nothing = throw CorruptFileException("File $file: $reason.")

    private class CorruptFileException(val reason: String) : Exception(reason)
}
