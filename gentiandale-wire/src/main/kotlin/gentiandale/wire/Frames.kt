package gentiandale.wire

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import kotlinx.io.EOFException
import java.nio.ByteBuffer

/** Maximum length of an encoded envelope in bytes. A longer one closes the connection. */
internal const val MAX_FRAME_BYTES = 16 * 1024 * 1024

/** Encodes [envelope] as a frame: its length as a big-endian 32-bit number, then its CBOR. */
internal fun encodeFrame(envelope: Envelope): ByteArray {
    val body = encodeWire(envelope)
    return ByteBuffer.allocate(Int.SIZE_BYTES + body.size).putInt(body.size).put(body).array()
}

internal suspend fun writeFrame(output: ByteWriteChannel, frame: ByteArray) {
    output.writeFully(frame)
}

/** Reads the next frame, or returns null at the end of the connection. */
internal suspend fun readFrame(input: ByteReadChannel): Envelope? {
    val size = try {
        input.readInt()
    } catch (_: EOFException) {
        return null
    }
    require(size in 1..MAX_FRAME_BYTES) { "Frame of $size bytes is not within 1..$MAX_FRAME_BYTES bytes." }
    return decodeWire<Envelope>(input.readByteArray(size))
}
