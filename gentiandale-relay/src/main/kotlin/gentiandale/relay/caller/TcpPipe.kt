package gentiandale.relay.caller

import gentiandale.core.Address
import gentiandale.relay.upstream.Transport
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Passes the bytes of a connection on to [target] and back. A side that closes it has what it sent delivered first. */
internal class TcpPipe(private val transport: Transport, private val target: Address) :
    ChannelInboundHandlerAdapter() {
    private val unsent = ArrayDeque<ByteBuf>()
    private var outgoing: Channel? = null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        val incoming = ctx.channel()
        incoming.config().isAutoRead = false
        transport.client(CONNECT_TIMEOUT_MS)
            .handler(ReturnPath(incoming))
            .connect(target.host, target.port)
            .addListener(ChannelFutureListener { onConnected(incoming, it) })
    }

    private fun onConnected(incoming: Channel, connected: ChannelFuture) {
        val channel = connected.channel()
        if (!connected.isSuccess) {
            unsent.forEach { it.release() }
            unsent.clear()
            incoming.close()
            return
        }
        outgoing = channel
        unsent.forEach(channel::write)
        unsent.clear()
        channel.flush()
        if (incoming.isActive) incoming.config().isAutoRead = true else closeAfterWriting(channel)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        outgoing?.writeAndFlush(message) ?: unsent.add(message as ByteBuf)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        outgoing?.config()?.isAutoRead = ctx.channel().isWritable
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        outgoing?.let(::closeAfterWriting)
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private fun closeAfterWriting(channel: Channel) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    private inner class ReturnPath(private val incoming: Channel) : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            incoming.writeAndFlush(message)
        }

        override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
            incoming.config().isAutoRead = ctx.channel().isWritable
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = closeAfterWriting(incoming)

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }

    private companion object {
        /** The target is on the same VM. */
        const val CONNECT_TIMEOUT_MS = 1_000
    }
}
