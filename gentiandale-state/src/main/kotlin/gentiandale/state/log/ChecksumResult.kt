package gentiandale.state.log

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** Version of the format on disk. */
internal const val FORMAT_VERSION = 1

private const val MAGIC = 0x474E5444
private const val HEADER_BYTES = 16

internal fun crc32c(vararg parts: ByteArray): Int {
    val crc = CRC32C()
    parts.forEach { crc.update(it) }
    return crc.value.toInt()
}

internal fun bytesOf(number: Int): ByteArray = ByteBuffer.allocate(Int.SIZE_BYTES).putInt(number).array()

/** Puts the format version, the length and a checksum before [content]. */
internal fun addChecksum(content: ByteArray): ByteArray = ByteBuffer.allocate(HEADER_BYTES + content.size)
    .putInt(MAGIC)
    .putInt(FORMAT_VERSION)
    .putInt(content.size)
    .putInt(crc32c(bytesOf(content.size), content))
    .put(content)
    .array()

/** Outcome of taking the seal off a file. */
internal sealed interface ChecksumResult {
    data class Valid(val content: ByteArray) : ChecksumResult

    data class Corrupt(val reason: String) : ChecksumResult
}

internal fun verifyChecksum(bytes: ByteArray): ChecksumResult {
    if (bytes.size < HEADER_BYTES) return ChecksumResult.Corrupt("it is shorter than its header")
    val buffer = ByteBuffer.wrap(bytes)
    if (buffer.getInt() != MAGIC) return ChecksumResult.Corrupt("it does not begin like a file of this store")
    val version = buffer.getInt()
    if (version !=
        FORMAT_VERSION
    ) {
        return ChecksumResult.Corrupt("it has format $version; this program reads $FORMAT_VERSION")
    }
    val length = buffer.getInt()
    val crc = buffer.getInt()
    val content = bytes.copyOfRange(HEADER_BYTES, bytes.size)
    val whole = length == content.size && crc == crc32c(bytesOf(length), content)
    return if (whole) ChecksumResult.Valid(content) else ChecksumResult.Corrupt("its checksum does not match")
}
