package gentiandale.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Chooses the handlers of a connection by its first byte: a control character begins no HTTP request.
 *
 * @param timeoutMs time in milliseconds for the first byte to arrive.
 */
internal class ProtocolDetector(
    private val timeoutMs: Long,
    private val addHttp: (ChannelPipeline) -> Unit,
    private val addOther: (ChannelPipeline) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var timer: Future<*>? = null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        timer = ctx.executor().schedule({ ctx.close() }, timeoutMs, TimeUnit.MILLISECONDS)
    }

    override fun handlerRemoved(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        val bytes = message as ByteBuf
        if (!bytes.isReadable) {
            bytes.release()
            return
        }
        val isHttp = bytes.getUnsignedByte(bytes.readerIndex()) > LAST_CONTROL_CHARACTER
        if (isHttp) addHttp(ctx.pipeline()) else addOther(ctx.pipeline())
        ctx.fireChannelRead(bytes)
        ctx.pipeline().remove(this)
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private companion object {
        const val LAST_CONTROL_CHARACTER: Byte = 31
    }
}
