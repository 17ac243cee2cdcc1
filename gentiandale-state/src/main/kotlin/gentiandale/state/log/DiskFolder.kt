package gentiandale.state.log

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption.ATOMIC_MOVE
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.WRITE
import kotlin.io.path.createDirectories
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/** [DataFolder] in the file system at [path]. A lock file keeps out other processes while it is open. */
public class DiskFolder(private val path: Path) : DataFolder {
    private val lock: FileChannel

    init {
        path.createDirectories()
        lock = FileChannel.open(path.resolve(LOCK), CREATE, WRITE)
        if (!tryLock()) {
            lock.close()
            throw IOException("Data folder $path is locked by another process.")
        }
    }

    override fun list(): List<String> = path.listDirectoryEntries().map { it.name }.filter { it != LOCK }.sorted()

    override fun read(name: String): ByteArray = Files.readAllBytes(path.resolve(name))

    override fun open(name: String): FolderFile = DiskFile(FileChannel.open(path.resolve(name), CREATE, READ, WRITE))

    override fun rename(from: String, to: String) {
        Files.move(path.resolve(from), path.resolve(to), ATOMIC_MOVE)
    }

    override fun delete(name: String) {
        Files.delete(path.resolve(name))
    }

    override fun sync() {
        FileChannel.open(path, READ).use { it.force(true) }
    }

    override fun close() {
        lock.close()
    }

    private fun tryLock() = try {
        lock.tryLock() != null
    } catch (_: OverlappingFileLockException) {
        false
    }

    private companion object {
        const val LOCK = "lock"
    }
}

private class DiskFile(private val channel: FileChannel) : FolderFile {
    override fun write(position: Long, bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        var at = position
        while (buffer.hasRemaining()) at += channel.write(buffer, at)
    }

    override fun truncate(size: Long) {
        channel.truncate(size)
    }

    override fun sync() {
        channel.force(false)
    }

    override fun close() {
        channel.close()
    }
}
