package gentiandale.relay.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Buffers the body of an answer, up to [maxBytes] bytes. */
internal class AnswerBuffer(private val maxBytes: Int) {
    private var bytes: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Buffered bytes; they stay the property of this buffer. */
    val content: ByteBuf get() = bytes

    /** Appends a copy of [part]; returns false, and buffers nothing, if that exceeds the limit. */
    fun append(part: ByteBuf): Boolean {
        if (bytes.readableBytes() + part.readableBytes() > maxBytes) return false
        if (bytes === Unpooled.EMPTY_BUFFER) bytes = Unpooled.buffer(part.readableBytes())
        bytes.writeBytes(part, part.readerIndex(), part.readableBytes())
        return true
    }

    /** Returns the buffered bytes, which the caller releases, and clears the buffer. */
    fun take(): ByteBuf = bytes.also { bytes = Unpooled.EMPTY_BUFFER }

    /** Discards the buffered bytes. */
    fun release() {
        take().release()
    }
}
