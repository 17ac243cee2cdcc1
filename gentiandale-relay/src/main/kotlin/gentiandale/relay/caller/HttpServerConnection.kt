package gentiandale.relay.caller

import gentiandale.core.log.EventLog
import gentiandale.relay.ConnectionUse
import gentiandale.relay.RelayEvent
import gentiandale.relay.routing.HttpServerLimits
import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * One connection of an [HttpServer]. Requests are aggregated and served one after the other; pipelined ones wait. The
 * connection is read while a request is served, so that a disconnect is noticed at once.
 */
internal class HttpServerConnection(
    private val channel: Channel,
    private val encoder: HttpServerResponseEncoder,
    private val presentLimits: () -> HttpServerLimits,
    private val service: HttpServerHandler,
    private val server: HttpServer,
    private val log: EventLog,
) : ChannelInboundHandlerAdapter() {
    private val limits get() = presentLimits()
    private val pending = PendingParts(channel)
    private var isReadingPending = false
    private var head: HttpRequest? = null
    private var headReceivedMs = 0L
    private var body: CompositeByteBuf? = null
    private var current: Reply? = null
    private var timer: ScheduledFuture<*>? = null
    private var isClosing = false
    private val end = ConnectionEnd(channel, log)
    private val number = server.nextNumber()
    private var requests = 0

    /** Answers whose end has not been written to the socket, since the client does not read them. */
    private var unwritten = 0

    /** Whether a request is being read or served, or an answer is being written. */
    val isBusy: Boolean get() = head != null || current != null || !pending.isEmpty || unwritten > 0

    /** Monotonic time in milliseconds at which bytes arrived last, or the connection was opened. */
    var lastInputMs = server.nowMs()
        private set

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        server.onOpened(this)
        startDeadline(server.nowMs(), { limits.headerTimeoutMs }, ::onHeaderTimeout)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        val part = message as HttpObject
        when {
            isClosing -> end.discard(part)
            current == null -> readPart(part)
            else -> pending.add(part)
        }
    }

    /** Also called for bytes that complete no part of a request. */
    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        lastInputMs = server.nowMs()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (channel.isWritable) current?.resume()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosing = true
        timer?.cancel(false)
        val wasBusy = isBusy
        val served = current
        current = null
        server.onClosed(this)
        served?.onDisconnected?.invoke(end.reason)
        head = null
        body?.release()
        body = null
        end.onUnserved(pending.release())
        end.write(ConnectionUse(number, requests), wasBusy)
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        // Callers that leave without a request reset their connection at any time.
        end.note("failed: $cause", isLogged = isBusy || cause !is IOException)
        ctx.close()
    }

    /** Closes the connection because of [reason]. */
    fun close(reason: String) {
        end.note(reason, isLogged = true)
        channel.close()
    }

    private fun readPart(part: HttpObject) {
        try {
            if (part.decoderResult().isFailure) return refuse(statusOf(part.decoderResult().cause()))
            if (part is HttpRequest) begin(part)
            if (part is HttpContent && head != null) append(part)
        } finally {
            ReferenceCountUtil.release(part)
        }
    }

    private fun begin(request: HttpRequest) {
        head = request
        headReceivedMs = server.nowMs()
        server.onActivity()
        body = Unpooled.compositeBuffer(MAX_BODY_PARTS)
        startDeadline(headReceivedMs, { limits.idleTimeoutMs }, ::onBodyTimeout)
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }
        if (HttpUtil.getContentLength(request, 0L) >
            limits.maxBodyBytes
        ) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
    }

    private fun append(part: HttpContent) {
        val received = body ?: return
        if (received.readableBytes() + part.content().readableBytes() > limits.maxBodyBytes) {
            return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (part.content().isReadable) received.addComponent(true, part.content().retain())
        if (part is LastHttpContent) serve()
    }

    private fun serve() {
        val request = head ?: return
        val received = body ?: return
        head = null
        body = null
        timer?.cancel(false)
        val reply = Reply(HttpUtil.isKeepAlive(request), request.protocolVersion() == HttpVersion.HTTP_1_0)
        current = reply
        encoder.isHead = request.method() == HttpMethod.HEAD
        val complete = HttpServerRequest(
            request.method(),
            request.uri(),
            request.headers(),
            received,
            headReceivedMs,
            ConnectionUse(number, ++requests),
        )
        val onDisconnected = service.serve(complete, reply)
        if (current === reply) reply.onDisconnected = onDisconnected
    }

    private fun onAnswered(keep: Boolean) {
        current = null
        server.onActivity()
        if (!keep || isClosing) return end.onUnserved(pending.release())
        startIdleTimer()
        readPending()
    }

    /** Reads the requests that wait; those that are answered at once are read one after the other by the first call. */
    private fun readPending() {
        if (isReadingPending) return
        isReadingPending = true
        try {
            while (current == null && !isClosing) readPart(pending.next() ?: return)
        } finally {
            isReadingPending = false
        }
    }

    /** Answers with [status], and closes the connection once the client has had time to read it. */
    private fun refuse(status: HttpResponseStatus) {
        log.write(RelayEvent.Malformed(channel.remoteAddress()?.toString(), status.code()))
        isClosing = true
        end.note("refused a malformed request", isLogged = false)
        head = null
        body?.release()
        body = null
        end.onUnserved(pending.release())
        val answer = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(answer).addListener { closeAfterLinger() }
    }

    /** Shuts down the output first: closing with unread bytes would reset the connection and lose the answer. */
    private fun closeAfterLinger() {
        (channel as DuplexChannel).shutdownOutput()
        startTimer(LINGER_MS) { channel.close() }
    }

    private fun abort(reason: String) {
        isClosing = true
        close(reason)
    }

    private fun onHeaderTimeout() {
        if (head == null && current == null) abort("no request within ${limits.headerTimeoutMs} ms")
    }

    private fun onBodyTimeout() {
        if (head != null) abort("request incomplete after ${limits.idleTimeoutMs} ms")
    }

    private fun startIdleTimer() {
        val inputMs = lastInputMs
        startDeadline(server.nowMs(), { limits.idleTimeoutMs }) { onIdleTimeout(inputMs) }
    }

    /** Closes the connection, unless input has arrived. */
    private fun onIdleTimeout(inputMs: Long) {
        when {
            isBusy -> Unit
            lastInputMs == inputMs -> closeIdle()
            else -> awaitHead()
        }
    }

    private fun closeIdle() = abort("idle for ${limits.idleTimeoutMs} ms")

    /** Closes the connection if the head of which a part has arrived does not become complete. */
    private fun awaitHead() = startDeadline(server.nowMs(), { limits.headerTimeoutMs }) {
        if (!isBusy) abort("head of a request incomplete")
    }

    /** Calls [end] when [limitMs] of the configuration then in force have passed since [sinceMs]. */
    private fun startDeadline(sinceMs: Long, limitMs: () -> Long, end: () -> Unit) {
        val leftMs = sinceMs + limitMs() - server.nowMs()
        if (leftMs > 0) {
            startTimer(leftMs) { startDeadline(sinceMs, limitMs, end) }
        } else {
            // Input that arrived while other connections were read is read before the next timer fires.
            startTimer(READ_DELAY_MS, end)
        }
    }

    private fun startTimer(delayMs: Long, action: () -> Unit) {
        timer?.cancel(false)
        timer = channel.eventLoop().schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    private inner class Reply(private val keepAlive: Boolean, private val isHttp10: Boolean) : HttpServerReply {
        var onDisconnected: ((String) -> Unit)? = null
        private var isDone = false

        override val isOpen: Boolean get() = !isDone && current === this && channel.isActive

        private var whenWritable: (() -> Unit)? = null

        override val isWritable: Boolean get() = !isOpen || channel.isWritable

        override fun onWritable(action: () -> Unit) {
            whenWritable = action
        }

        fun resume() {
            val action = whenWritable
            whenWritable = null
            action?.invoke()
        }

        override fun answer(status: Int, headers: HttpHeaders, body: ByteBuf) {
            if (!isOpen) {
                body.release()
                return
            }
            val answer = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                body,
                headers,
                DefaultHttpHeaders(),
            )
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            finish(answer, keep = setConnectionHeader(headers))
        }

        override fun begin(status: Int, headers: HttpHeaders) {
            if (!isOpen) return
            if (isHttp10) {
                resetOnClose(
                    true,
                )
            } else {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            }
            keepsAlive = setConnectionHeader(headers) && !isHttp10
            if (!keepsAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            channel.writeAndFlush(
                DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers),
            )
        }

        override fun part(content: ByteBuf) {
            if (isOpen) channel.writeAndFlush(DefaultHttpContent(content)) else content.release()
        }

        override fun end() {
            if (!isOpen) return
            if (isHttp10) resetOnClose(false)
            finish(LastHttpContent.EMPTY_LAST_CONTENT, keepsAlive)
        }

        override fun abort() {
            if (!isOpen) return
            isDone = true
            current = null
            isClosing = true
            end.note("answer broken off", isLogged = false)
            channel.close()
        }

        private var keepsAlive = false

        /**
         * Makes any close reset the connection, also one by the end of the process. Without chunks an orderly close is
         * the mark of a complete answer.
         */
        private fun resetOnClose(enabled: Boolean) {
            channel.config().setOption(ChannelOption.SO_LINGER, if (enabled) 0 else LINGER_DISABLED)
        }

        private fun setConnectionHeader(headers: HttpHeaders): Boolean {
            val keep = keepAlive && !server.isDraining
            if (!keep) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            if (keep && isHttp10) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE)
            return keep
        }

        private fun finish(last: HttpObject, keep: Boolean) {
            isDone = true
            if (!keep) {
                isClosing = true
                end.note("closed after an answer", isLogged = false)
            }
            unwritten++
            channel.writeAndFlush(last).addListener(ChannelFutureListener { onWritten(it, keep) })
            onAnswered(keep)
        }
    }

    private fun onWritten(written: ChannelFuture, keep: Boolean) {
        unwritten--
        if (!written.isSuccess) end.onAnswerUnwritten(written.cause())
        if (!keep) {
            closeAfterLinger()
        } else if (written.isSuccess && !isBusy) {
            startIdleTimer()
        }
    }

    private companion object {
        const val MAX_BODY_PARTS = 1_024

        /** Lets a close return at once and deliver what has been written. */
        const val LINGER_DISABLED = -1

        /** Longer than the event loop needs to come back to its sockets. */
        const val READ_DELAY_MS = 1L

        /** Time in milliseconds for the client to read the last answer. */
        const val LINGER_MS = 500L
    }
}
