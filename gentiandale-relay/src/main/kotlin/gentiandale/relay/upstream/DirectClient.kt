package gentiandale.relay.upstream

import gentiandale.core.Address
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpObjectAggregator
import java.util.concurrent.TimeUnit

/** Answer to a call of a [DirectClient]; [status] is null if none arrived. */
public class DirectAnswer(public val status: Int?, public val body: String)

/** HTTP client for calls of this system itself, each on a connection of its own. */
public class DirectClient(private val transport: Transport) {
    /** Sends [request] to [address]; [done] receives the answer on the event loop within [timeoutMs] milliseconds. */
    public fun send(address: Address, request: FullHttpRequest, timeoutMs: Long, done: (DirectAnswer) -> Unit) {
        val handler = Handler(done)
        val bootstrap = transport.client(CONNECT_TIMEOUT_MS).handler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(MAX_BODY_BYTES), handler)
            }
        })
        bootstrap.connect(address.host, address.port).addListener { connected ->
            val channel = (connected as ChannelFuture).channel()
            if (!connected.isSuccess) return@addListener handler.end(null, "")
            channel.writeAndFlush(request)
            transport.loop.schedule({ channel.close() }, timeoutMs, TimeUnit.MILLISECONDS)
        }
    }

    private class Handler(private val done: (DirectAnswer) -> Unit) : SimpleChannelInboundHandler<FullHttpResponse>() {
        private var isDone = false

        fun end(status: Int?, body: String) {
            if (isDone) return
            isDone = true
            done(DirectAnswer(status, body))
        }

        override fun channelRead0(ctx: ChannelHandlerContext, answer: FullHttpResponse) {
            end(answer.status().code(), answer.content().toString(Charsets.UTF_8))
            ctx.close()
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = end(null, "")

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 300
        const val MAX_BODY_BYTES = 65_536
    }
}
