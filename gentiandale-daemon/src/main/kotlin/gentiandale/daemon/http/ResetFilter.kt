package gentiandale.daemon.http

import com.linecorp.armeria.client.DecoratingHttpClientFunction
import com.linecorp.armeria.common.logging.RequestLogProperty
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.SingleThreadEventLoop
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AttributeKey
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/**
 * Drops the end of a response that may be a part of one, and marks channels whose last response had no end of its own.
 * The HTTP decoder reports the end of any connection as the end of a body without length or chunks. Such a body may be
 * a part if the connection was reset, or if it began before the request was written: a server that gives up while it
 * reads a request may close in order too.
 */
internal class ResetFilter : ChannelDuplexHandler() {
    private var isReset = false
    private var isRequestWritten = false
    private var isPremature = false

    override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        val last = promise.unvoid()
        if (message is HttpRequest) isRequestWritten = false
        if (message is LastHttpContent) last.addListener { if (it.isSuccess) onWritten(ctx.channel()) }
        ctx.write(message, last)
    }

    private fun onWritten(channel: Channel) {
        // An event loop that is late writes to a socket before it reads what had arrived there earlier.
        val loop = channel.eventLoop() as SingleThreadEventLoop
        loop.executeAfterEventLoopIteration { isRequestWritten = true }
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) isReset = true
        ctx.fireExceptionCaught(cause)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (message is HttpResponse) {
            ctx.channel().attr(UNFRAMED).set(isUnframed(message))
            isPremature = isUnframed(message) && !isRequestWritten
        }
        val isCut = (isReset || isPremature) && message is LastHttpContent
        if (isCut) ReferenceCountUtil.release(message) else ctx.fireChannelRead(message)
    }

    private fun isUnframed(head: HttpResponse) = head.status() !in WITHOUT_BODY &&
        head.status().codeClass() != HttpStatusClass.INFORMATIONAL &&
        !HttpUtil.isContentLengthSet(head) &&
        !HttpUtil.isTransferEncodingChunked(head)

    companion object {
        private val WITHOUT_BODY = setOf(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED)

        /**
         * Bounds what the system accepts of a call before it can be sent. By default that is over 2 MiB, so that a call
         * counted as written while its server had read almost nothing.
         */
        const val MAX_UNSENT_BYTES = 65_536L

        private val UNFRAMED = AttributeKey.valueOf<Boolean>(ResetFilter::class.java, "unframed")

        /** Returns whether only the end of [channel] marks the end of its last response. */
        fun isUnframed(channel: Channel): Boolean = channel.attr(UNFRAMED).get() ?: false

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
