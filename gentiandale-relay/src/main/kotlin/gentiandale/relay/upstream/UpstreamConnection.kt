package gentiandale.relay.upstream

import gentiandale.relay.ConnectionUse
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.SingleThreadEventLoop
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/**
 * One connection to a backend server, which carries one request at a time, and no request twice. Answers with the id of
 * another request are read and discarded, and that connection is not reused. Surplus bytes or a malformed answer close
 * it at once, since they may have no end.
 */
internal class UpstreamConnection(
    private val channel: Channel,
    private val decoder: AnswerDecoder,
    private val dialect: Dialect,
    private val pool: ServerConnectionPool,
) : ChannelInboundHandlerAdapter() {
    private val number = pool.observer.nextNumber()
    private val loop = channel.eventLoop() as SingleThreadEventLoop
    private var exchange: Exchange? = null
    private var isRequestWritten = false

    /** Whether the request was written before the event loop last asked for what has arrived. */
    private var isWrittenBeforeRead = false
    private var isAnswerComplete = false
    private var framing = AnswerFraming.NO_BODY
    private var isForeignAnswer = false
    private var isInterimAnswer = false

    /** Whether the present answer claims a success without a length, and began before its request was written. */
    private var isPrematureAnswer = false
    private var brokenReason: String? = null
    private var isTainted = false
    private var sentCount = 0
    private var hasNotedStray = false
    private var interimCount = 0

    /** Time in milliseconds for which the server keeps an idle connection open. */
    private var idleTimeoutMs = DEFAULT_IDLE_MS

    /** Monotonic time in milliseconds until which the idle connection may be reused. */
    var usableUntilMs = Long.MAX_VALUE
        private set

    /** Monotonic time in milliseconds since which the connection has been idle. */
    var idleSinceMs = 0L
        private set

    val isUsable: Boolean get() = channel.isActive && !isTainted && exchange == null

    /** Returns whether the connection has carried a request with [requestId]. */
    fun hasCarried(requestId: String): Boolean = decoder.hasCarried(requestId)

    /** Writes [request] of [next], whose listener receives the answer. */
    fun send(next: Exchange, request: FullHttpRequest) {
        exchange = next
        next.connection = this
        next.isSent = true
        isRequestWritten = false
        isWrittenBeforeRead = false
        isAnswerComplete = false
        isPrematureAnswer = false
        sentCount++
        next.use = ConnectionUse(number, sentCount)
        interimCount = 0
        if (sentCount >= MAX_REQUESTS) isTainted = true
        // Nothing tells a late copy of its answer from the next one; long ids are not kept, since callers choose them.
        if (next.requestId == null || next.requestId.length > MAX_ID_LENGTH) isTainted = true
        decoder.expect(next.requestId, isHead = request.method() == HttpMethod.HEAD)
        channel.writeAndFlush(request).addListener {
            isRequestWritten = it.isSuccess
            if (it.isSuccess) onWritten(sentCount) else fail("write failed: ${it.cause()?.message}")
        }
    }

    private fun onWritten(sent: Int) {
        // An event loop that is late writes to a socket before it reads what had arrived there earlier.
        loop.executeAfterEventLoopIteration { if (sent == sentCount) isWrittenBeforeRead = isRequestWritten }
        returnToPool()
    }

    fun setReading(enabled: Boolean) {
        channel.config().isAutoRead = enabled
    }

    fun close() {
        isTainted = true
        channel.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) read(message) else onSurplus(null)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        val current = exchange?.takeIf { !isAnswerComplete }
        when {
            message.decoderResult().isFailure -> onMalformed(message.decoderResult().cause()?.message)
            current == null -> onSurplus((message as? HttpResponse)?.let(::idOf))
            message is HttpResponse -> readHead(current, message)
            else -> Unit
        }
        if (message is HttpContent && exchange != null && !isAnswerComplete) readContent(message)
    }

    private fun onSurplus(answerId: String?) {
        if (!hasNotedStray) noteStray(StrayAnswer.SURPLUS, answerId)
        close()
    }

    private fun onMalformed(reason: String?) {
        noteStray(StrayAnswer.MALFORMED, null)
        fail("malformed answer: $reason")
    }

    private fun readHead(current: Exchange, head: HttpResponse) {
        AnswerHead.malformationOf(head)?.let { return onMalformed(it) }
        isInterimAnswer = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isInterimAnswer) {
            if (++interimCount > MAX_INTERIM_ANSWERS) fail("more than $MAX_INTERIM_ANSWERS interim answers")
            return
        }
        val answerId = idOf(head)
        val mayOmitId = answerId == null && sentCount == 1 && head.status().codeClass() != HttpStatusClass.SUCCESS
        isForeignAnswer = current.requestId != null && answerId != current.requestId && !mayOmitId
        if (isForeignAnswer) {
            isTainted = true
            noteStray(if (answerId == null) StrayAnswer.NO_ID else StrayAnswer.FOREIGN, answerId)
            if (answerId == null) fail("answer without the request id")
            return
        }
        updateKeepAlive(head)
        framing = AnswerFraming.of(head, decoder.isContentAlwaysEmpty(head))
        // A copy of an answer to HEAD looks as if it had a body; an answer without a length has no end of its own.
        if (decoder.isHead || framing == AnswerFraming.CONNECTION_END) isTainted = true
        val isSuccess = head.status().codeClass() == HttpStatusClass.SUCCESS
        isPrematureAnswer = isSuccess && framing == AnswerFraming.CONNECTION_END && !isWrittenBeforeRead
        if (!current.isOver) current.listener.onHead(head)
    }

    private fun idOf(head: HttpResponse) = dialect.requestId(head.headers())

    private fun noteStray(kind: StrayAnswer, answerId: String?) {
        hasNotedStray = true
        pool.observer.onStray(kind, pool.address, ConnectionUse(number, sentCount), exchange?.requestId, answerId)
    }

    private fun readContent(part: HttpContent) {
        val current = exchange ?: return
        val isCurrentAnswer = !isForeignAnswer && !isInterimAnswer
        if (isCurrentAnswer && !current.isOver && part.content().isReadable) current.listener.onContent(part.content())
        if (part !is LastHttpContent) return
        val isComplete = isCurrentAnswer
        isForeignAnswer = false
        isInterimAnswer = false
        if (!isComplete) return
        // A server that gives up while it reads a request may end the connection in order as well.
        val reason = brokenReason ?: PREMATURE_END.takeIf { isPrematureAnswer }
        if (reason != null) return fail(reason)
        isAnswerComplete = true
        decoder.onAnswerComplete()
        if (!current.isOver) {
            current.isOver = true
            current.listener.onEnd(framing)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) = returnToPool()

    /** Returns the connection to the pool once the request is written and the answer is complete. */
    private fun returnToPool() {
        if (!isAnswerComplete || !isRequestWritten || exchange == null) return
        exchange = null
        // Reading may have been stopped for a slow caller; an idle connection must notice its end.
        setReading(true)
        idleSinceMs = pool.nowMs()
        usableUntilMs = idleSinceMs + idleTimeoutMs
        if (isTainted) channel.close() else pool.onIdle(this)
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        brokenReason = if (cause is IOException) "reset" else "error: $cause"
        isTainted = true
        ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail(brokenReason ?: "closed")
        pool.onClosed(this)
    }

    private fun fail(reason: String) {
        isTainted = true
        val current = exchange
        exchange = null
        channel.close()
        if (current == null || current.isOver) return
        current.isOver = true
        current.listener.onFailure(SendFailure.Broken(reason))
    }

    private fun updateKeepAlive(head: HttpResponse) {
        if (!HttpUtil.isKeepAlive(head)) isTainted = true
        val timeout = head.headers().get(KEEP_ALIVE)?.substringAfter("timeout=", "")?.takeWhile(Char::isDigit)
        val seconds = timeout?.toLongOrNull()
        idleTimeoutMs =
            if (seconds == null) DEFAULT_IDLE_MS else (seconds * MS_PER_S - IDLE_MARGIN_MS).coerceAtLeast(0)
        if (head.headers().contains(HttpHeaderNames.UPGRADE)) isTainted = true
    }

    private companion object {
        /** Interim answers before the final one; servers send one or two. */
        const val MAX_INTERIM_ANSWERS = 8

        /** Bounds the ids that a connection remembers; a new connection for that many requests costs little. */
        const val MAX_REQUESTS = 256
        const val MAX_ID_LENGTH = 128
        const val PREMATURE_END = "answer without a length began before the request was written"
        const val KEEP_ALIVE = "Keep-Alive"
        const val MS_PER_S = 1_000L

        /** Used if the server states no timeout in whole seconds; it then closes idle connections within a second. */
        const val DEFAULT_IDLE_MS = 300L

        /** Time for the close to arrive from another data centre, with a margin for late timers. */
        const val IDLE_MARGIN_MS = 400L
    }
}
