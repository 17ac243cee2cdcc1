package gentiandale.relay.life

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.RelayEvent
import gentiandale.relay.backend.Backend
import gentiandale.relay.routing.Repetition
import gentiandale.relay.upstream.AnswerListener
import gentiandale.relay.upstream.Exchange
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** What may be said of a request that gets no answer of a server. */
internal enum class RunState {
    /** No server has begun it. */
    NOT_RUN,

    /** A server may have begun it. */
    MAY_HAVE_RUN,
}

/**
 * One request from its route to its final answer. A refusal is given only while no server can have begun; after that a
 * request without an answer ends as a failure, which promises nothing.
 */
internal abstract class RequestHandler(protected val routed: RoutedRequest, protected val context: RelayContext) {
    protected val route get() = routed.route
    protected val tried = HashSet<ServerId>()
    protected var runState = RunState.NOT_RUN
    protected var attempts = 0
    protected var isOver = false
        private set
    protected val progress = AnswerProgress(routed.request.startMs, context.dialect.lastEventId(routed.headers))
    private var lastReason: String? = null
    private var sends = 0
    private var endTimer: ScheduledFuture<*>? = null
    private val running = ArrayList<Send>(2)

    /** Chooses a server and sends the request, or ends the life. */
    protected abstract fun dispatch()

    /** Frees what the life holds at servers. */
    protected abstract fun releaseResources()

    /** Starts the life. */
    fun start() {
        endTimer = context.loop.schedule(::onDeadline, leftMs().coerceAtLeast(0), TimeUnit.MILLISECONDS)
        context.budgetOf(routed.service).onRequest(context.nowMs())
        dispatch()
    }

    /** Notes that the caller has left. */
    fun onCallerLeft() {
        if (!isOver) finish("caller-left", null, "the caller closed its connection")
    }

    /** Time in milliseconds until the final answer is due. */
    protected fun leftMs(): Long = routed.deadlineMs - context.nowMs()

    private fun onDeadline() {
        if (isOver) return
        val reason = lastReason ?: "no answer in time"
        if (routed.reply.isOpen &&
            !hasBegun()
        ) {
            answerWithStatus(GATEWAY_TIMEOUT, "timed-out", reason)
        } else {
            abort("timed-out: $reason")
        }
    }

    /** Whether a part of the answer has left. */
    protected abstract fun hasBegun(): Boolean

    /** Refuses the request: it has not run and never will. The caller may come back after [retryAfterMs]. */
    protected fun refuse(reason: String, retryAfterMs: Long) {
        if (runState != RunState.NOT_RUN) return fail(reason)
        val headers = DefaultHttpHeaders()
        val jitter = context.random.nextLong(retryAfterMs / 2 + 1)
        headers.set(
            HttpHeaderNames.RETRY_AFTER,
            "%.3f".format(java.util.Locale.ROOT, (retryAfterMs + jitter) / MS_PER_S),
        )
        isOver = true
        routed.reply.answer(UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER)
        complete("refused", UNAVAILABLE, reason)
    }

    /** Ends the request without an answer of a server, or cuts an answer that has begun. */
    protected fun fail(reason: String) {
        if (hasBegun()) abort(reason) else answerWithStatus(BAD_GATEWAY, "failed", reason)
    }

    private fun answerWithStatus(status: Int, outcome: String, reason: String) {
        isOver = true
        routed.reply.answer(status, DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)
        complete(outcome, status, reason)
    }

    private fun abort(reason: String) {
        isOver = true
        routed.reply.abort()
        complete("cut", null, reason)
    }

    /** Notes that the whole answer has been passed on. */
    protected fun finish(outcome: String, status: Int?, reason: String? = null) {
        isOver = true
        complete(outcome, status, reason)
    }

    private fun complete(outcome: String, status: Int?, reason: String?) {
        isOver = true
        endTimer?.cancel(false)
        running.toList().forEach { it.cancel() }
        releaseResources()
        routed.request.body.release()
        val elapsedMs = context.nowMs() - routed.request.startMs
        context.log.write(
            RelayEvent.Ended(
                routed.id,
                route.name,
                outcome,
                status,
                reason,
                attempts,
                elapsedMs,
                progress.firstMs,
                progress.lastEvent,
                progress.longestGapMs,
            ),
        )
        context.stats.onEnded(route.name, route.urgency, outcome, elapsedMs, progress.firstMs)
    }

    /** Whether the request may be sent to one more server after one may have begun it. */
    protected fun mayRetry(): Boolean =
        (runState == RunState.NOT_RUN || route.repetition != Repetition.AT_MOST_ONCE) && attempts < route.maxAttempts

    /** Whether an answer that is no stream can be passed on as it is: one that promises too much can't. */
    protected fun canForward(answer: HttpResponse): Boolean {
        val status = answer.status()
        val signed = status.codeClass() != HttpStatusClass.SUCCESS || context.dialect.isSigned(answer.headers())
        val claimsNotRun = status.code() in NOT_RUN_STATUSES && route.repetition == Repetition.AT_MOST_ONCE
        return signed && !claimsNotRun && !answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
    }

    /** Takes one repeated send from the budget that all VMs share; the first send is free. */
    protected fun takeRetryBudget(): Boolean {
        if (sends == 0) return true
        val allowed = context.budgetOf(routed.service).tryTake(context.nowMs())
        context.stats.onRepeat(routed.service.value, allowed)
        return allowed
    }

    /** Notes a send that counts against the budget from now on. */
    protected fun countSend() {
        sends++
    }

    /** Returns the request to write now, with [change] made to its headers. */
    protected fun buildRequest(server: Backend, change: (HttpHeaders) -> Unit): FullHttpRequest {
        val body = routed.request.body.retainedDuplicate()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, routed.request.method, routed.request.target, body)
        request.headers().set(routed.headers)
        val urgency = route.urgency.takeIf { routed.rule?.engine != null }
        context.dialect.setTarget(request.headers(), leftMs().coerceAtLeast(1), server.row.id, urgency)
        if (body.isReadable || routed.request.method == HttpMethod.POST || routed.request.method == HttpMethod.PUT) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        change(request.headers())
        return request
    }

    /** Sends to [server] and reports to [handler]. */
    protected fun send(server: Backend, operation: String, maxIdleMs: Long, handler: SendHandler): Send {
        val send = Send(server, operation, handler)
        running += send
        val passedOver = tried.joinToString(",") { it.value }.ifEmpty { null }
        context.log.write(
            RelayEvent.Placed(
                routed.id,
                route.name,
                routed.version,
                operation,
                server.localLoad,
                server.peerLoad,
                attempts,
                passedOver,
                leftMs(),
            ),
        )
        server.running++
        send.exchange = context.upstreams.send(server, routed.id, maxIdleMs, send)
        return send
    }

    /** One send of this request to one server. */
    protected inner class Send(
        val server: Backend,
        private val operation: String,
        val handler: SendHandler,
    ) : AnswerListener {
        var exchange: Exchange? = null
        private var sentMs: Long? = null
        private var timer: ScheduledFuture<*>? = null
        private var isDone = false

        /** Calls [action] after [delayMs] milliseconds unless the answer has begun by then. */
        fun scheduleIfUnanswered(delayMs: Long, action: () -> Unit) {
            timer?.cancel(false)
            timer = context.loop.schedule({ if (!isDone) action() }, delayMs, TimeUnit.MILLISECONDS)
        }

        /** Gives up on the answer; the server stops when it sees the connection closed. */
        fun cancel() {
            if (isDone) return
            done()
            exchange?.cancel()
            handler.onDropped()
        }

        /** Notes a failure that the handler has seen in the answer itself. */
        fun recordFailure(reason: String) {
            server.onFailure(context.nowMs())
            if (server.row.kind != ServerKind.PLAIN) context.listener.onSuspect(server.row.id)
            logFailure(reason)
        }

        /** Writes why this send did not help. */
        fun logFailure(reason: String) {
            lastReason = "${server.row.id}: $reason"
            val elapsedMs = sentMs?.let { context.nowMs() - it } ?: 0
            context.log.write(RelayEvent.SendFailed(routed.id, operation, server.row.id, reason, elapsedMs))
        }

        override fun onConnected(): FullHttpRequest? {
            if (isDone || isOver) return null
            if (!server.isReady || leftMs() <= 0) {
                onFailure(SendFailure.NotSent("the server takes no work any more"))
                return null
            }
            sentMs = context.nowMs()
            if (server.unansweredSinceMs == null) server.unansweredSinceMs = sentMs
            return handler.request()
        }

        override fun onHead(head: HttpResponse) {
            if (isDone) return
            timer?.cancel(false)
            sentMs?.let { server.onAnswer(context.nowMs() - it) }
            if (!context.dialect.isNotExecuted(head.status().code(), head.headers())) server.onAccepted()
            server.unansweredSinceMs = null
            handler.onHead(head)
        }

        override fun onContent(content: ByteBuf) {
            server.lastByteMs = context.nowMs()
            if (!isDone) handler.onContent(content)
        }

        override fun onEnd() {
            if (isDone) return
            done()
            handler.onEnd()
        }

        override fun onFailure(failure: SendFailure) {
            if (isDone) return
            done()
            recordFailure(failure.reason)
            handler.onFailure(failure)
        }

        private fun done() {
            isDone = true
            timer?.cancel(false)
            running -= this
            server.running--
            if (server.running == 0) server.unansweredSinceMs = null
        }
    }

    protected companion object {
        const val UNAVAILABLE = 503
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        const val MS_PER_S = 1_000.0

        /** Statuses that promise that the request has not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
