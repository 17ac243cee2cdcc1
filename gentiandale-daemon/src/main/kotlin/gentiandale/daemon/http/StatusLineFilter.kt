package gentiandale.daemon.http

import com.linecorp.armeria.client.DecoratingHttpClientFunction
import com.linecorp.armeria.common.logging.RequestLogProperty
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder
import io.netty.handler.codec.http.HttpClientCodec
import java.io.IOException

/**
 * Breaks an HTTP/1.1 connection off whose response has a malformed status line or a status outside 100 to 599. The
 * HTTP decoder would pass on any number, and read a sign or further digits as parts of it. For connections that carry
 * a single request.
 */
internal class StatusLineFilter : ByteToMessageDecoder() {
    private var part = Part.STATUS_LINE
    private var lineBytes = 0

    private enum class Part { STATUS_LINE, INTERIM_HEAD, REST }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        when (part) {
            Part.STATUS_LINE -> checkStatusLine(ctx, buffer, out)
            Part.INTERIM_HEAD -> out += buffer.readRetainedSlice(interimBytes(buffer))
            Part.REST -> out += buffer.readRetainedSlice(buffer.readableBytes())
        }
    }

    private fun checkStatusLine(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        // The HTTP decoder skips empty lines in front of a response too.
        while (buffer.isReadable && buffer.getByte(buffer.readerIndex()) in EMPTY_LINE) buffer.skipBytes(1)
        if (buffer.readableBytes() < LINE_BYTES) return
        val line = buffer.toString(buffer.readerIndex(), LINE_BYTES, Charsets.ISO_8859_1)
        val status = STATUS_LINE.matchEntire(line)?.groupValues?.get(1)?.toInt()
        when (status) {
            null -> breakOff(ctx, buffer, line)
            SWITCHING_PROTOCOLS -> part = Part.REST
            in INTERIM -> part = Part.INTERIM_HEAD
            else -> part = Part.REST
        }
        if (status != null) out += buffer.readRetainedSlice(LINE_BYTES)
        lineBytes = LINE_BYTES
    }

    private fun breakOff(ctx: ChannelHandlerContext, buffer: ByteBuf, line: String) {
        buffer.skipBytes(buffer.readableBytes())
        ctx.fireExceptionCaught(IOException("malformed status line '$line'"))
        ctx.close()
    }

    /** Returns the number of bytes up to the end of the interim head, or of all if it goes on. */
    private fun interimBytes(buffer: ByteBuf): Int {
        for (index in 0 until buffer.readableBytes()) {
            val byte = buffer.getByte(buffer.readerIndex() + index)
            when {
                byte == NEWLINE && lineBytes == 0 -> {
                    part = Part.STATUS_LINE
                    return index + 1
                }
                byte == NEWLINE -> lineBytes = 0
                byte != RETURN -> lineBytes++
            }
        }
        return buffer.readableBytes()
    }

    companion object {
        private val STATUS_LINE = Regex("HTTP/1\\.[01] ([1-5][0-9]{2})[ \r\n]")
        private val INTERIM = 100..199
        private const val SWITCHING_PROTOCOLS = 101
        private const val LINE_BYTES = "HTTP/1.1 200 ".length
        private const val NEWLINE = '\n'.code.toByte()
        private const val RETURN = '\r'.code.toByte()
        private val EMPTY_LINE = listOf(NEWLINE, RETURN)

        /** Adds the filter to each HTTP/1.1 connection that a client uses. */
        val DECORATOR = DecoratingHttpClientFunction { delegate, ctx, request ->
            ctx.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log -> log.channel()?.let(::install) }
            delegate.execute(ctx, request)
        }

        private fun install(channel: Channel) {
            val pipeline = channel.pipeline()
            if (pipeline.get(StatusLineFilter::class.java) != null) return
            val codec = pipeline.context(HttpClientCodec::class.java) ?: return
            pipeline.addBefore(codec.name(), null, StatusLineFilter())
        }
    }
}
