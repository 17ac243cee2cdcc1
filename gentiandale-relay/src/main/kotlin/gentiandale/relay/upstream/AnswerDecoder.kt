package gentiandale.relay.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Bytes that arrived while no answer was due and are not the whole head of one. */
internal object SurplusBytes

/**
 * Decodes the answers on one connection and decides where they end. Servers may answer twice, and break the second
 * answer off anywhere. Therefore
 *
 * - bytes that arrive while no answer is due are never kept for the next one,
 * - an answer to `HEAD` has no body whatever its headers say, but an answer to another request may have one,
 * - a body without a length, and that of an answer to another request, ends where a further answer starts.
 */
internal class AnswerDecoder(
    maxLineBytes: Int,
    maxHeaderBytes: Int,
    maxChunkBytes: Int,
    private val dialect: Dialect,
) : HttpResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
    private val carriedIds = HashSet<String>()
    private val starts = AnswerStartFinder(dialect, ::hasCarried)
    private var isDue = false

    /** Whether the request is a `HEAD` request. */
    var isHead = false
        private set
    private var requestId: String? = null
    private var body = Body.DELIMITED

    /** How the end of the present body is found. */
    private enum class Body { DELIMITED, UNFRAMED, FOREIGN }

    /** Expects the answer to the request with [requestId], which is a `HEAD` request if it [isHead]. */
    fun expect(requestId: String?, isHead: Boolean) {
        isDue = true
        this.requestId = requestId
        requestId?.let(carriedIds::add)
        this.isHead = isHead
    }

    /**
     * Returns whether the connection has carried a request with [requestId], also one that its caller has sent again.
     * A late copy of the answer to it could then be taken for the answer to the next one.
     */
    fun hasCarried(requestId: String): Boolean = requestId in carriedIds

    /** Called when the answer to the request is complete. */
    fun onAnswerComplete() {
        isDue = false
    }

    public override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        (isHead && !isForeign(message)) || super.isContentAlwaysEmpty(message)

    /** Keeps both headers, so that the answer is recognised as malformed. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = Unit

    private fun isForeign(message: HttpMessage): Boolean {
        val id = dialect.requestId(message.headers())
        return id != null && requestId != null && id != requestId
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        when {
            !isDue -> decodeSurplus(ctx, buffer, out)
            body == Body.DELIMITED -> decodeAnswer(ctx, buffer, out)
            else -> decodeBody(ctx, buffer, out)
        }
    }

    private fun decodeSurplus(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(ctx, buffer, out)
        if (out.isNotEmpty()) return
        buffer.skipBytes(buffer.readableBytes())
        out += SurplusBytes
    }

    private fun decodeAnswer(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(ctx, buffer, out)
        val head = out.lastOrNull() as? HttpResponse ?: return
        body = when {
            head.decoderResult().isFailure || head is LastHttpContent -> Body.DELIMITED
            isForeign(head) -> Body.FOREIGN
            AnswerFraming.of(head, isContentAlwaysEmpty(head)) == AnswerFraming.CONNECTION_END -> Body.UNFRAMED
            else -> Body.DELIMITED
        }
    }

    private fun decodeBody(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val start = starts.find(buffer)
        val end = when (start) {
            is AnswerStart.None -> buffer.writerIndex()
            is AnswerStart.Possible -> start.index
            is AnswerStart.Found -> start.index
        }
        decodeBodyUpTo(end, ctx, buffer, out)
        if (body == Body.DELIMITED || start !is AnswerStart.Found || out.isNotEmpty()) return
        if (start.id != requestId) {
            buffer.skipBytes(buffer.readableBytes())
            out += failure("answer to an earlier request inside a body")
            return
        }
        // A body that is discarded may lack a part of a chunk here.
        buffer.readerIndex(end)
        endBody()
        ctx.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
        decode(ctx, buffer, out)
    }

    private fun decodeBodyUpTo(end: Int, ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val part = buffer.slice(buffer.readerIndex(), end - buffer.readerIndex())
        var before = -1
        while (part.isReadable && part.readerIndex() != before && body != Body.DELIMITED) {
            before = part.readerIndex()
            super.decode(ctx, part, out)
            if (out.lastOrNull() is LastHttpContent) body = Body.DELIMITED
        }
        buffer.skipBytes(part.readerIndex())
    }

    private fun endBody() {
        body = Body.DELIMITED
        reset()
    }

    override fun decodeLast(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isDue && body == Body.UNFRAMED && buffer.readableBytes() >= AnswerStartFinder.MIN_HEAD_BYTES) {
            buffer.skipBytes(buffer.readableBytes())
            out += failure("body ends like the start of a further answer")
            return
        }
        body = Body.DELIMITED
        super.decodeLast(ctx, buffer, out)
    }

    private fun failure(reason: String) = DefaultLastHttpContent().apply {
        decoderResult = DecoderResult.failure(IllegalStateException(reason))
    }
}
