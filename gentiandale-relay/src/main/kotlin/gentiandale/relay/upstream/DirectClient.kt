package gentiandale.relay.upstream

import gentiandale.core.Address
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/** Answer to a call of a [DirectClient]; [status] is null and there are no [headers] if none arrived. */
public class DirectAnswer(
    public val status: Int?,
    public val body: String,
    public val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
)

/** HTTP client for calls of this system itself, each on a connection of its own. */
public class DirectClient(private val transport: Transport) {
    /** Sends [request] to [address]; [done] receives the answer on the event loop within [timeoutMs] milliseconds. */
    public fun send(address: Address, request: FullHttpRequest, timeoutMs: Long, done: (DirectAnswer) -> Unit) {
        val handler = Handler(done)
        val bootstrap = transport.client(CONNECT_TIMEOUT_MS).handler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val aggregator = HttpObjectAggregator(MAX_BODY_BYTES)
                channel.pipeline().addLast(HttpRequestEncoder(), StrictAnswerDecoder(), HeadCheck(handler))
                channel.pipeline().addLast(aggregator, handler)
            }
        })
        bootstrap.connect(address.host, address.port).addListener { connected ->
            val channel = (connected as ChannelFuture).channel()
            if (!connected.isSuccess) return@addListener handler.end(DirectAnswer(null, ""))
            channel.writeAndFlush(request).addListener { handler.isRequestWritten = it.isSuccess }
            transport.loop.schedule({ handler.abort(channel) }, timeoutMs, TimeUnit.MILLISECONDS)
        }
    }

    /** Ends calls whose answer can't be relied on, as its head shows. */
    private class HeadCheck(private val handler: Handler) : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            if (message !is HttpResponse || isReliable(message)) {
                ctx.fireChannelRead(message)
            } else {
                ReferenceCountUtil.release(message)
                handler.abort(ctx.channel())
            }
        }

        /** A body without a length may be a part if its server did not await the whole request. */
        private fun isReliable(head: HttpResponse): Boolean {
            if (AnswerHead.malformationOf(head) != null) return false
            val isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
            return handler.isRequestWritten ||
                AnswerFraming.of(head, isBodyless = isInterim) != AnswerFraming.CONNECTION_END
        }
    }

    private class Handler(private val done: (DirectAnswer) -> Unit) : SimpleChannelInboundHandler<FullHttpResponse>() {
        private var isDone = false

        /** Whether the whole request has been passed to the system. */
        var isRequestWritten = false

        fun end(answer: DirectAnswer) {
            if (isDone) return
            isDone = true
            done(answer)
        }

        /** Closes [channel] without an answer. The decoder takes any end of a connection for that of an open body. */
        fun abort(channel: Channel) {
            end(DirectAnswer(null, ""))
            channel.close()
        }

        override fun channelRead0(ctx: ChannelHandlerContext, answer: FullHttpResponse) {
            if (answer.decoderResult().isFailure) return abort(ctx.channel())
            if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
            end(DirectAnswer(answer.status().code(), answer.content().toString(Charsets.UTF_8), answer.headers()))
            ctx.close()
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = end(DirectAnswer(null, ""))

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = abort(ctx.channel())
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 300
        const val MAX_BODY_BYTES = 65_536
    }
}
