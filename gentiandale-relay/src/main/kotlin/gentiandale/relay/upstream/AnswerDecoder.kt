package gentiandale.relay.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Bytes that arrived while no answer was due and are not the whole head of one. */
internal object SurplusBytes

/**
 * Decodes the answers on one connection. Servers may answer twice and break the second answer off anywhere, so bytes
 * that arrive while no answer is due are never kept for the next one.
 */
internal class AnswerDecoder(maxLineBytes: Int, maxHeaderBytes: Int, maxChunkBytes: Int) :
    HttpResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
    private var isDue = false
    private var isHead = false

    /** Expects the answer to a request, which has no body, whatever its headers say, if the request [isHead]. */
    fun expect(isHead: Boolean) {
        isDue = true
        this.isHead = isHead
    }

    /** Called when the answer to the request is complete. */
    fun onAnswerComplete() {
        isDue = false
    }

    public override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHead || super.isContentAlwaysEmpty(message)

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(ctx, buffer, out)
        if (isDue || out.isNotEmpty()) return
        buffer.skipBytes(buffer.readableBytes())
        out += SurplusBytes
    }
}
