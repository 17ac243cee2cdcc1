package gentiandale.relay.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** Bytes that arrived while no answer was due and are not the whole head of one. */
internal object SurplusBytes

/**
 * Decodes the answers on one connection and decides where they end. Servers may answer twice, and break the second
 * answer off anywhere. Therefore
 *
 * - bytes that arrive while no answer is due are never kept for the next one,
 * - an answer to `HEAD` has no body whatever its headers say, but an answer to another request may have one,
 * - a body without a length, and that of an answer to another request, ends where a further answer starts,
 * - a body with a length or in chunks in which a further answer starts has been broken off there.
 */
internal class AnswerDecoder(
    maxLineBytes: Int,
    maxHeaderBytes: Int,
    maxChunkBytes: Int,
    private val dialect: Dialect,
) : StrictAnswerDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
    private val carriedIds = HashSet<String>()
    private val starts = AnswerStartFinder(dialect, ::hasCarried)
    private var isDue = false

    /** Whether the request is a `HEAD` request. */
    var isHead = false
        private set
    private var requestId: String? = null
    private var body = Body.NONE

    /** Bytes of the present body that are still to be decoded, if its head states the length. */
    private var leftBytes = Long.MAX_VALUE
    private val statesLength get() = leftBytes != Long.MAX_VALUE
    private val endWait = BodyEndWait(this)

    /** The body that is being decoded, by how its end is found. */
    private enum class Body { NONE, FRAMED, UNFRAMED, FOREIGN }

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
            body == Body.NONE -> decodeAnswer(ctx, buffer, out)
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
        val framing = AnswerFraming.of(head, isContentAlwaysEmpty(head))
        body = when {
            head.decoderResult().isFailure || head is LastHttpContent -> Body.NONE
            isForeign(head) -> Body.FOREIGN
            framing == AnswerFraming.CONNECTION_END -> Body.UNFRAMED
            else -> Body.FRAMED
        }
        val isFailure = head.status().codeClass() != HttpStatusClass.SUCCESS
        starts.reset()
        starts.acceptsNoId = body == Body.UNFRAMED && isFailure && dialect.requestId(head.headers()) == null
        val isCounted = body == Body.FRAMED && framing == AnswerFraming.LENGTH
        leftBytes = if (isCounted) HttpUtil.getContentLength(head) else Long.MAX_VALUE
    }

    private fun decodeBody(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val bodyEnd = buffer.readerIndex() + minOf(leftBytes, buffer.readableBytes().toLong()).toInt()
        when (val start = starts.find(buffer, bodyEnd)) {
            is AnswerStart.None -> decodeBodyUpTo(bodyEnd, ctx, buffer, out)
            is AnswerStart.Possible -> decodeBodyBefore(start, bodyEnd, ctx, buffer, out)
            is AnswerStart.Found -> {
                decodeBodyUpTo(start.index, ctx, buffer, out)
                if (body != Body.NONE && out.isEmpty()) onFurtherAnswer(start, ctx, buffer, out)
            }
        }
    }

    /** Keeps back what may be the [start] of a further answer; at the end of a body, only if its head may go on. */
    private fun decodeBodyBefore(
        start: AnswerStart.Possible,
        bodyEnd: Int,
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val isWhole = leftBytes <= buffer.readableBytes()
        val goesOn = buffer.writerIndex() > bodyEnd
        val isLong = buffer.writerIndex() - start.index >= AnswerStartFinder.MIN_HEAD_BYTES
        when {
            !isWhole || ((goesOn || isLong) && !endWait.isOver) -> decodeBodyUpTo(start.index, ctx, buffer, out)
            goesOn -> fail("body with a length ends inside the head of a further answer", buffer, out)
            else -> decodeBodyUpTo(bodyEnd, ctx, buffer, out)
        }
        if (isWhole && body != Body.NONE && out.isEmpty()) endWait.start(ctx)
    }

    private fun onFurtherAnswer(
        start: AnswerStart.Found,
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        when {
            start.id != null && start.id != requestId -> fail("answer to an earlier request inside a body", buffer, out)
            body == Body.FRAMED -> decodeQuotation(start, ctx, buffer, out)
            else -> {
                // A body that is discarded may lack a part of a chunk here.
                buffer.readerIndex(start.index)
                endBody()
                ctx.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
                decode(ctx, buffer, out)
            }
        }
    }

    /**
     * Takes an answer that starts inside a body for a part of it if it ends there too. A copy of the present answer
     * never does, since its body alone is as long.
     */
    private fun decodeQuotation(
        start: AnswerStart.Found,
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val headEnd = starts.endOfHead(buffer, start.index)
        val maxHeadBytes = minOf(leftBytes, AnswerStartFinder.MAX_HEAD_BYTES.toLong())
        if (statesLength && headEnd < 0 && buffer.readableBytes() < maxHeadBytes) return
        val length = if (headEnd < 0) null else starts.statedLength(buffer, start.index, headEnd)
        if (statesLength && length != null && headEnd - buffer.readerIndex() + length <= leftBytes) {
            decodeBodyUpTo(headEnd, ctx, buffer, out)
        } else {
            fail("second answer inside a body", buffer, out)
        }
    }

    private fun decodeBodyUpTo(end: Int, ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val part = buffer.slice(buffer.readerIndex(), end - buffer.readerIndex())
        var before = -1
        while (part.isReadable && part.readerIndex() != before && body != Body.NONE) {
            before = part.readerIndex()
            super.decode(ctx, part, out)
            if (out.lastOrNull() is LastHttpContent) {
                body = Body.NONE
                endWait.stop()
            }
        }
        buffer.skipBytes(part.readerIndex())
        starts.onConsumed(part.readerIndex())
        if (statesLength) leftBytes -= part.readerIndex()
    }

    private fun endBody() {
        body = Body.NONE
        reset()
    }

    override fun decodeLast(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        endWait.stop()
        if (isDue && body == Body.UNFRAMED && buffer.readableBytes() >= AnswerStartFinder.MIN_HEAD_BYTES) {
            return fail("body ends like the start of a further answer", buffer, out)
        }
        if (isDue && body == Body.FRAMED) decodeLastOfFramed(ctx, buffer, out)
        body = Body.NONE
        super.decodeLast(ctx, buffer, out)
    }

    private fun decodeLastOfFramed(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (leftBytes > buffer.readableBytes()) {
            buffer.skipBytes(buffer.readableBytes())
        } else {
            endWait.isOver = true
            decodeBody(ctx, buffer, out)
        }
    }

    private fun fail(reason: String, buffer: ByteBuf, out: MutableList<Any>) {
        endWait.stop()
        buffer.skipBytes(buffer.readableBytes())
        out += DefaultLastHttpContent().apply {
            decoderResult = DecoderResult.failure(IllegalStateException(reason))
        }
    }
}
