package gentiandale.daemon.claim

import com.linecorp.armeria.client.DecoratingHttpClientFunction
import com.linecorp.armeria.common.logging.RequestLogProperty
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/**
 * Drops the end of a response whose connection was reset. The HTTP decoder reports the end of any connection as the end
 * of a body without length or chunks, so that a part of a response would pass for the whole.
 */
internal class ResetFilter : ChannelInboundHandlerAdapter() {
    private var isReset = false

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) isReset = true
        ctx.fireExceptionCaught(cause)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (isReset && message is LastHttpContent) ReferenceCountUtil.release(message) else ctx.fireChannelRead(message)
    }

    companion object {
        /** Adds the filter to each connection that a client uses. */
        val DECORATOR = DecoratingHttpClientFunction { delegate, ctx, request ->
            ctx.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log -> log.channel()?.let(::install) }
            delegate.execute(ctx, request)
        }

        private fun install(channel: Channel) {
            val pipeline = channel.pipeline()
            if (pipeline.get(ResetFilter::class.java) != null) return
            val codec = pipeline.context(HttpClientCodec::class.java) ?: return
            pipeline.addAfter(codec.name(), null, ResetFilter())
        }
    }
}
