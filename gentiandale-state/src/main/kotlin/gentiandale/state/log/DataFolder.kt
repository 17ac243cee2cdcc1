package gentiandale.state.log

import java.io.IOException

/** File with random-access writes. Writes survive a crash only after [sync]. */
public interface FolderFile : AutoCloseable {
    /** Writes [bytes] at [position]. */
    @Throws(IOException::class)
    public fun write(position: Long, bytes: ByteArray)

    /** Truncates the file to [size] bytes. */
    @Throws(IOException::class)
    public fun truncate(size: Long)

    /** Makes all earlier writes and truncations durable. */
    @Throws(IOException::class)
    public fun sync()

    override fun close()
}

/** Folder with the durable state of a voter. An interface, so that tests can inject faults. */
public interface DataFolder : AutoCloseable {
    /** Returns the names of the files in the folder. */
    @Throws(IOException::class)
    public fun list(): List<String>

    /** Returns the whole content of the file [name]. */
    @Throws(IOException::class)
    public fun read(name: String): ByteArray

    /** Opens the file [name] for writing and creates it if it does not exist. */
    @Throws(IOException::class)
    public fun open(name: String): FolderFile

    /** Renames [from] to [to] atomically and replaces an existing file. */
    @Throws(IOException::class)
    public fun rename(from: String, to: String)

    /** Deletes the file [name]. */
    @Throws(IOException::class)
    public fun delete(name: String)

    /** Makes all earlier creations, renames and deletions of files durable. */
    @Throws(IOException::class)
    public fun sync()

    override fun close()
}

internal const val TEMPORARY_SUFFIX = ".tmp"

/** Replaces the file [name] with [content] atomically and durably. */
internal fun DataFolder.replace(name: String, content: ByteArray) {
    val temporary = name + TEMPORARY_SUFFIX
    open(temporary).use {
        it.truncate(0)
        it.write(0, content)
        it.sync()
    }
    rename(temporary, name)
    sync()
}
