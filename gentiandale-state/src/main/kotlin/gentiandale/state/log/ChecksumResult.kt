package gentiandale.state.log

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** Version of the on-disk format. */
internal const val FORMAT_VERSION = 1

private const val MAGIC = 0x474E5444
private const val HEADER_BYTES = 16

internal fun crc32c(vararg parts: ByteArray): Int {
    val crc = CRC32C()
    parts.forEach { crc.update(it) }
    return crc.value.toInt()
}

internal fun intBytes(number: Int): ByteArray = ByteBuffer.allocate(Int.SIZE_BYTES).putInt(number).array()

/** Returns [content] with a header that holds a magic number, the format version, the length and a checksum. */
internal fun addChecksum(content: ByteArray): ByteArray = ByteBuffer.allocate(HEADER_BYTES + content.size)
    .putInt(MAGIC)
    .putInt(FORMAT_VERSION)
    .putInt(content.size)
    .putInt(crc32c(intBytes(content.size), content))
    .put(content)
    .array()

/** Result of [verifyChecksum]. */
internal sealed interface ChecksumResult {
    data class Valid(val content: ByteArray) : ChecksumResult

    data class Corrupt(val reason: String) : ChecksumResult
}

internal fun verifyChecksum(bytes: ByteArray): ChecksumResult {
    if (bytes.size < HEADER_BYTES) return ChecksumResult.Corrupt("${bytes.size} bytes, shorter than the header")
    val buffer = ByteBuffer.wrap(bytes)
    if (buffer.getInt() != MAGIC) return ChecksumResult.Corrupt("wrong magic number, not a file of this store")
    val version = buffer.getInt()
    if (version != FORMAT_VERSION) return ChecksumResult.Corrupt("format version $version, expected $FORMAT_VERSION")
    val length = buffer.getInt()
    val crc = buffer.getInt()
    val content = bytes.copyOfRange(HEADER_BYTES, bytes.size)
    val valid = length == content.size && crc == crc32c(intBytes(length), content)
    return if (valid) ChecksumResult.Valid(content) else ChecksumResult.Corrupt("length or checksum mismatch")
}
