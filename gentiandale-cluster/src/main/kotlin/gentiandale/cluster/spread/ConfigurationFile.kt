package gentiandale.cluster.spread

import gentiandale.wire.WireCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import java.util.zip.CRC32C

/** Result of loading a [ConfigurationFile]. */
public sealed interface SavedConfiguration {
    /** There is no file. */
    public data object Absent : SavedConfiguration

    /** The file holds [state]. */
    public data class Present(val state: ConfigurationState) : SavedConfiguration

    /** The file is damaged or has an unknown format, as described by [reason]. */
    public data class Corrupt(val reason: String) : SavedConfiguration
}

/**
 * Persists the active configuration for restarts. Layout: magic number with format version, CRC-32C of the body,
 * length of the body, and the body, a CBOR-encoded [ConfigurationState]. A new version is written to a temporary file,
 * synced, and atomically renamed over the old one.
 */
@OptIn(ExperimentalSerializationApi::class)
public class ConfigurationFile(private val folder: Path) {
    private val path = folder.resolve("configuration.spread")

    /** Loads and verifies the file. */
    public fun load(): SavedConfiguration {
        if (!Files.exists(path)) return SavedConfiguration.Absent
        val bytes = ByteBuffer.wrap(Files.readAllBytes(path))
        val error = validationError(bytes)
        if (error != null) return SavedConfiguration.Corrupt("$path $error.")
        val body = ByteArray(bytes.remaining()).also(bytes::get)
        return try {
            SavedConfiguration.Present(WireCbor.decodeFromByteArray(ConfigurationState.serializer(), body))
        } catch (e: SerializationException) {
            SavedConfiguration.Corrupt("$path could not be decoded: ${e.message}")
        }
    }

    private fun validationError(bytes: ByteBuffer): String? {
        if (bytes.remaining() < HEADER_BYTES) return "is shorter than its header of $HEADER_BYTES bytes"
        if (bytes.int != MAGIC) return "has an unknown magic number or format version"
        val checksum = bytes.int
        if (bytes.int != bytes.remaining()) return "is truncated or too long: its header gives another body length"
        val body = bytes.array().copyOfRange(HEADER_BYTES, bytes.limit())
        return if (checksumOf(body) == checksum) null else "is corrupt: the CRC-32C of its body does not match"
    }

    /** Atomically replaces the file with [state], and returns once it is synced to disk. */
    public fun save(state: ConfigurationState) {
        Files.createDirectories(folder)
        val body = WireCbor.encodeToByteArray(ConfigurationState.serializer(), state)
        val bytes = ByteBuffer.allocate(HEADER_BYTES + body.size)
        bytes.putInt(MAGIC).putInt(checksumOf(body)).putInt(body.size).put(body).flip()
        val replacement = folder.resolve("configuration.spread.new")
        FileChannel.open(
            replacement,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING,
        ).use {
            while (bytes.hasRemaining()) it.write(bytes)
            it.force(true)
        }
        Files.move(replacement, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
    }

    private fun checksumOf(body: ByteArray): Int = CRC32C().apply { update(body) }.value.toInt()

    private companion object {
        /** The ASCII letters `GCF`, followed by format version 1. */
        const val MAGIC = 0x47434601
        const val HEADER_BYTES = 12
    }
}
