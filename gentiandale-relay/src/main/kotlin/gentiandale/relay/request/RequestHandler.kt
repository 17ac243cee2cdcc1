package gentiandale.relay.request

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.QuarantineVerdict
import gentiandale.core.backend.RequestTrait
import gentiandale.relay.RelayEvent
import gentiandale.relay.backend.Backend
import gentiandale.relay.forward.ForwardPath
import gentiandale.relay.forward.ForwardedRefusal
import gentiandale.relay.quota.QuotaStep
import gentiandale.relay.routing.AccessVerdict
import gentiandale.relay.routing.KeyRefusal
import gentiandale.relay.routing.Repetition
import gentiandale.relay.upstream.AnswerFraming
import gentiandale.relay.upstream.AnswerListener
import gentiandale.relay.upstream.Exchange
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Handles one routed request until its final answer. A request is refused only while no server can have started it;
 * after that, a request without an answer ends as a failure, which leaves open whether it has run.
 *
 * @param parts parts of the prompt that other requests may hold too.
 */
internal abstract class RequestHandler(
    protected var routed: RoutedRequest,
    protected val context: RelayContext,
    parts: List<RequestTrait> = emptyList(),
) {
    protected val crashSuspect = CrashSuspect(routed, parts, context.quarantine)
    protected val route get() = routed.route
    protected val tried = HashSet<ServerId>()

    /** Servers that were left without a part of an answer; the route allows that they are asked again. */
    protected val unheard = HashSet<ServerId>()
    protected var runState = RunState.NOT_RUN
    protected var attempts = 0
    protected var isOver = false
        private set
    protected val progress = AnswerProgress(routed.request.startMs, context.dialect.lastEventId(routed.headers))
    private var lastReason: String? = null
    protected val retries = RequestRetries(context) { routed.service }
    private var deadlineTimer: ScheduledFuture<*>? = null
    private val running = ArrayList<Send>(2)
    protected val permits = PermitHold(context.nowMs)
    protected val quota = QuotaClaim(routed, context)

    /** Whether a server may have worked on the request. */
    protected open val hasRun: Boolean get() = runState != RunState.NOT_RUN
    protected val guard = StepGuard(::onError)

    /** Chooses a server and sends the request, or ends it. */
    protected abstract fun dispatch()

    /** Releases timers, queue entries and reservations of the request. */
    protected abstract fun releaseResources()

    /** Starts the deadline timer and dispatches the request. */
    fun start() {
        context.active += this
        deadlineTimer = schedule(leftMs().coerceAtLeast(0), ::onDeadline)
        // The VM that took the request from its caller has counted it.
        if (routed.forwarded == null) context.budgetOf(routed.service).onRequest(context.nowMs())
        guard.execute {
            quota.ask(::rejectInvalid, ::onQuota)
            if (!isOver) begin()
        }
    }

    /** Dispatches the request when its quota admits it. */
    protected open fun begin() = quota.whenAdmitted(::dispatch)

    private fun rejectInvalid(reason: String) = answerWithStatus(BAD_REQUEST, "refused", reason)

    private fun onQuota(step: QuotaStep) = guard.execute {
        when (step) {
            is QuotaStep.Admit -> quota.resume()
            is QuotaStep.Deny -> deny(step.retryAfterMs)
            is QuotaStep.Refuse -> refuse("$QUOTA_UNDECIDED ${routed.customer?.name}", step.retryAfterMs)
            is QuotaStep.Ask -> Unit
        }
    }

    /** Ends the request, which exceeds the quota of its customer. A retry after [retryAfterMs] is admitted. */
    private fun deny(retryAfterMs: Long) {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMs))
        answerWithStatus(TOO_MANY_REQUESTS, "refused", "$QUOTA_USED_UP ${routed.customer?.name}", headers)
    }

    private fun seconds(ms: Long) = "%.3f".format(java.util.Locale.ROOT, ms / MS_PER_S)

    /** Schedules [step] of the request in [delayMs] milliseconds. */
    protected fun schedule(delayMs: Long, step: () -> Unit): ScheduledFuture<*> =
        context.loop.schedule({ guard.execute(step) }, delayMs, TimeUnit.MILLISECONDS)

    private fun onError(error: Exception) {
        context.log.write(RelayEvent.StepFailed(routed.id, error))
        if (isOver) running.toList().forEach { it.cancel() } else end("internal error: $error")
    }

    /** Ends the request because the connection of the caller has ended for [reason]. */
    fun onCallerLeft(reason: String) {
        if (!isOver) guard.execute { finish("caller-left", null, reason) }
    }

    /** Ends the request, which is still in progress as the process ends. */
    fun onProcessEnded() = guard.execute { if (!isOver) abort("process ended with the request in progress") }

    /** Ends the request, unless a server may work on it, since the process ends before it could be answered. */
    fun onProcessEnding() = guard.execute {
        val isRunning = runState != RunState.NOT_RUN && running.any { it.exchange?.isSent == true }
        when {
            isOver || isRunning || hasBegun() -> Unit
            runState == RunState.NOT_RUN -> refuse(STOPPING, STOPPING_RETRY_MS)
            else -> fail(STOPPING)
        }
    }

    /** Where the request goes on from this VM. */
    protected fun path(): ForwardPath = context.forwarding.path(routed.service, routed.forwarded != null)

    /** Servers that accept the request, or the entry VMs that reach some if this one reaches none. */
    protected fun candidates(): List<Backend> = when (val path = path()) {
        is ForwardPath.Direct -> context.candidates(routed.service)
        is ForwardPath.ByPeer -> path.peers
        is ForwardPath.AwaitPeers, is ForwardPath.Nowhere -> emptyList()
    }

    /** Dispatches the request when the entry VMs that reach its service have been named. */
    protected fun awaitPeers() = context.forwarding.awaitPeers(routed.service) {
        guard.execute { if (!isOver) dispatch() }
    }

    /** Returns what [server], which has not executed the request, states about it in [headers], or null if no peer. */
    protected fun onRefused(server: Backend, headers: HttpHeaders): ForwardedRefusal? {
        val refusal = if (server.isPeer) ForwardedRefusal.read(headers) else return null
        if (refusal.isUnsent) retries.onUnsent()
        if (refusal.isUnreached) context.forwarding.onUnreached(routed.service, server)
        return refusal
    }

    /** Returns the time in milliseconds until the deadline. */
    protected fun leftMs(): Long = routed.deadlineMs - context.nowMs()

    private fun onDeadline() {
        if (isOver) return
        val reason = lastReason ?: "no answer before the deadline"
        if (routed.reply.isOpen &&
            !hasBegun()
        ) {
            answerWithStatus(GATEWAY_TIMEOUT, "timed-out", reason)
        } else {
            abort("timed-out: $reason")
        }
    }

    /** Returns whether a part of the answer has been sent to the caller. */
    protected abstract fun hasBegun(): Boolean

    /** Returns whether the request goes on at its previous server, as it can't be moved to another one for [reason]. */
    protected open fun returnToServer(reason: String): Boolean = false

    /**
     * Refuses the request, which has not run and will not. The caller is told to retry after [retryAfterMs], which is
     * scattered unless [isExact].
     */
    protected fun refuse(reason: String, retryAfterMs: Long, isExact: Boolean = false) {
        if (returnToServer(reason)) return
        if (runState != RunState.NOT_RUN) return fail(reason)
        val headers = DefaultHttpHeaders()
        val jitter = if (isExact) 0 else context.random.nextLong(retryAfterMs / 2 + 1)
        headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMs + jitter))
        if (routed.forwarded != null) {
            context.dialect.stateNotExecuted(headers)
            ForwardedRefusal(isUnsent = !retries.hasSent, isUnreached = path() is ForwardPath.Nowhere).writeTo(headers)
        }
        isOver = true
        routed.reply.answer(UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER)
        complete("refused", UNAVAILABLE, reason)
    }

    /** Ends the request with an error, or aborts the answer if a part of it has been sent. */
    protected fun fail(reason: String) {
        if (!returnToServer(reason)) end(reason)
    }

    private fun end(reason: String) {
        if (hasBegun()) abort(reason) else answerWithStatus(BAD_GATEWAY, "failed", reason)
    }

    private fun answerWithStatus(
        status: Int,
        outcome: String,
        reason: String,
        headers: HttpHeaders = DefaultHttpHeaders(),
    ) {
        isOver = true
        routed.reply.answer(status, headers, Unpooled.EMPTY_BUFFER)
        complete(outcome, status, reason)
    }

    private fun abort(reason: String) {
        isOver = true
        routed.reply.abort()
        complete("cut", null, reason)
    }

    /** Ends the request; nothing more is sent to the caller. */
    protected fun finish(outcome: String, status: Int?, reason: String? = null) {
        isOver = true
        complete(outcome, status, reason)
    }

    private fun complete(outcome: String, status: Int?, reason: String?) {
        isOver = true
        context.active -= this
        deadlineTimer?.cancel(false)
        running.toList().forEach { it.cancel() }
        permits.release()
        quota.release(hasRun)
        retries.release()
        releaseResources()
        routed.request.body.release()
        val elapsedMs = context.nowMs() - routed.request.startMs
        val answer = progress.summary()
        context.log.write(
            RelayEvent.Ended(
                routed.id,
                route.name,
                outcome,
                status,
                reason,
                attempts,
                elapsedMs,
                answer,
                routed.request.source,
                routed.customer?.name,
            ),
        )
        context.stats.onEnded(route.name, routed.urgency, outcome, elapsedMs, answer.firstMs)
        // The VM that took the request from its caller counts it.
        val customer = routed.customer?.takeIf { routed.forwarded == null } ?: return
        context.stats.onCustomerRequest(customer.name, outcome)
    }

    /** Returns whether the request may be sent to another server, given that one may have started it. */
    protected fun mayRetry(): Boolean =
        (runState == RunState.NOT_RUN || route.repetition != Repetition.AT_MOST_ONCE) && attempts < route.maxAttempts

    /** Returns whether the request may be sent to another server, or again to one that was left without an answer. */
    protected fun mayGoOn(): Boolean = mayRetry() || unheard.any { it !in tried }

    /** Returns whether [answer], which is not a stream, can be forwarded unchanged. */
    protected fun canForward(answer: HttpResponse): Boolean = answer.isForwardable(route, context.dialect)

    /**
     * Ends the request, and returns true, if it must be kept away from servers. The VM that sends it to a server
     * decides, since it also makes the trials.
     */
    protected fun endIfCrashSuspect(): Boolean {
        if (path() !is ForwardPath.Direct) return false
        val verdict = crashSuspect.verdict() as? QuarantineVerdict.Refuse ?: return false
        context.stats.onQuarantined()
        refuse("${verdict.trait} is suspected of ${verdict.crashes} server crashes", verdict.leftMs)
        return true
    }

    private fun endIfForbidden(): Boolean = endIfNotAllowed() || endIfCrashSuspect()

    /** Ends the request, and returns true, if its key was revoked or this VM can't tell. */
    private fun endIfNotAllowed(): Boolean {
        when (val verdict = context.access.verdict(routed.customer, routed.key)) {
            is AccessVerdict.Allowed -> return false
            is AccessVerdict.Outdated -> {
                context.log.write(RelayEvent.LeaseMissing(routed.id, route.name, routed.version))
                context.stats.onLeaseMissing()
                refuse(RelayEvent.LeaseMissing.REASON, STOPPING_RETRY_MS)
            }
            is AccessVerdict.Revoked -> {
                val event =
                    RelayEvent.KeyRefused(
                        routed.id,
                        route.name,
                        KeyRefusal.REVOKED,
                        routed.key,
                        verdict.version,
                        routed.forwarded,
                    )
                context.log.write(event)
                context.stats.onKeyRefused(KeyRefusal.REVOKED, routed.forwarded != null)
                endRevoked("key revoked by the configuration ${verdict.version}")
            }
        }
        return true
    }

    /** Ends the request with 401 if it has not run. A VM that has forwarded it may ask another one. */
    private fun endRevoked(reason: String) = when {
        routed.forwarded != null -> refuse(reason, STOPPING_RETRY_MS)
        runState != RunState.NOT_RUN -> fail(reason)
        returnToServer(reason) -> Unit
        else -> answerWithStatus(UNAUTHORIZED, "refused", reason)
    }

    /** Builds the request to [server], with [change] applied to its headers. */
    protected fun buildRequest(server: Backend, change: (HttpHeaders) -> Unit): FullHttpRequest =
        routed.requestTo(server, leftMs().coerceAtLeast(1), context.dialect, streamToContinue, change)

    /** Id of the request that brought the first event of the stream which goes on, or null. */
    protected open val streamToContinue: String? get() = null

    /** Sends the request to [server] for [operation]; [handler] receives the answer. */
    protected fun send(server: Backend, operation: String, maxIdleMs: Long, handler: SendHandler): Send {
        val send = Send(server, operation, handler)
        running += send
        server.running++
        context.onRunningChanged(server)
        if (server.isPeer) context.stats.onForwarded(routed.service.value)
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
                server.limit.perSecond(context.nowMs()),
                server.row.software,
            ),
        )
        send.exchange = context.upstreams.send(server, routed.id, maxIdleMs, guard.guarded(send))
        return send
    }

    /** One send of this request to [server]. */
    protected inner class Send(
        val server: Backend,
        private val operation: String,
        val handler: SendHandler,
    ) : AnswerListener {
        var exchange: Exchange? = null

        /** Whether the request has been written, so that the server may work on it. */
        val isSent: Boolean get() = exchange?.isSent == true
        private var sentMs: Long? = null
        private var limitSentMs = Long.MIN_VALUE
        private var timer: ScheduledFuture<*>? = null
        private var isDone = false

        /** Whether reading stopped because the caller does not take what has been forwarded. */
        var isPaused = false
            private set

        /** Schedules [action] in [delayMs] milliseconds; the head or the end of the answer cancels it. */
        fun ifUnanswered(delayMs: Long, action: () -> Unit) {
            timer?.cancel(false)
            timer = schedule(delayMs) { if (!isDone) action() }
        }

        /** Cancels the send; the server stops when its connection is closed. */
        fun cancel() {
            if (isDone) return
            done()
            exchange?.cancel()
            handler.release()
        }

        /** Records a failure of the server for [reason] and reports an engine as suspect. */
        fun recordFailure(reason: String) {
            onSilence()
            logFailure(reason)
        }

        /** Charges the server with a failure, though the send goes on, and reports an engine as suspect. */
        fun onSilence() {
            server.onFailure(context.nowMs())
            if (server.row.kind != ServerKind.PLAIN) context.listener.onSuspect(server.row.id)
        }

        /** Logs why this send failed. */
        fun logFailure(reason: String) {
            lastReason = "${server.row.id}: $reason"
            val elapsedMs = sentMs?.let { context.nowMs() - it } ?: 0
            context.log.write(
                RelayEvent.SendFailed(
                    routed.id,
                    operation,
                    server.row.id,
                    reason,
                    elapsedMs,
                    handler.eventCount,
                    exchange?.use,
                ),
            )
        }

        override fun onConnected(): FullHttpRequest? {
            if (isDone || isOver || endIfForbidden()) return null
            if (!server.isReady || server.isResting(context.nowMs()) || leftMs() <= 0) {
                onFailure(SendFailure.NotSent("server no longer accepts work or the deadline has passed"))
                return null
            }
            if (!permits.use(server)) return onNoPermit()
            sentMs = context.nowMs().also { limitSentMs = server.limit.onSent(it) }
            if (server.unansweredSinceMs == null) server.unansweredSinceMs = sentMs
            checkReachLater()
            return handler.request()
        }

        private fun checkReachLater() {
            val writtenMs = sentMs ?: return
            schedule(REACH_CHECK_MS) { if (!isDone) context.monitor.onUnanswered(server, writtenMs) }
        }

        /** Ends the send without charging the server, whose limit other requests of this VM have used up. */
        private fun onNoPermit(): FullHttpRequest? {
            done()
            logFailure(NO_PERMIT)
            handler.onFailure(SendFailure.NotSent(NO_PERMIT))
            return null
        }

        override fun onHead(head: HttpResponse) {
            context.monitor.onByte(server)
            if (isDone) return
            timer?.cancel(false)
            sentMs?.let { server.onAnswer(context.nowMs() - it) }
            if (!context.dialect.isNotExecuted(head.status().code(), head.headers())) server.onAccepted()
            server.unansweredSinceMs = null
            context.readNotices(server, routed.id, head, limitSentMs)
            handler.onHead(head)
            val timeoutMs = handler.bodyTimeoutMs ?: return
            ifUnanswered(timeoutMs) { giveUp("answer incomplete $timeoutMs ms after its head") }
        }

        override fun onContent(content: ByteBuf) {
            server.lastByteMs = context.nowMs()
            context.monitor.onByte(server)
            if (isDone) return
            progress.onRead(content.readableBytes())
            when (val verdict = handler.onContent(content)) {
                is BodyVerdict.Continue -> pauseIfCallerIsSlow()
                is BodyVerdict.GiveUp -> giveUp(verdict.reason)
            }
        }

        /** Closes the connection of an answer that is not read to its end. */
        private fun giveUp(reason: String) {
            exchange?.cancel()
            onFailure(SendFailure.Broken(reason))
        }

        /** Stops reading while the caller does not take what has been forwarded, so that memory stays bounded. */
        private fun pauseIfCallerIsSlow() {
            if (isDone || routed.reply.isWritable) return
            isPaused = true
            exchange?.setReading(false)
            routed.reply.onWritable {
                isPaused = false
                exchange?.setReading(true)
            }
        }

        override fun onEnd(framing: AnswerFraming) {
            if (isDone) return
            progress.onAnswerEnd(framing, exchange?.use)
            when (val end = handler.judgeEnd(framing)) {
                is AnswerEnd.Whole -> onWhole(framing)
                is AnswerEnd.BrokenOff -> onBrokenOff(framing, end.reason)
                is AnswerEnd.Unproven -> context.upstreams.crashes.checkOnce(server.row.address) { isRefused ->
                    guard.execute { if (!isDone) onChecked(framing, isRefused) }
                }
            }
        }

        /** Ends an answer that has no mark of its end, after the server has taken a new connection or refused it. */
        private fun onChecked(framing: AnswerFraming, isRefused: Boolean) {
            // A server that has said that it leaves finishes its answers before its process ends.
            if (isRefused && server.row.acceptsWork) {
                onBrokenOff(framing, "answer without a length ended as its server refused connections")
            } else {
                onWhole(framing)
            }
        }

        private fun onWhole(framing: AnswerFraming) {
            context.stats.onServerAnswer(framing.label, isWhole = true)
            done()
            handler.onEnd()
        }

        private fun onBrokenOff(framing: AnswerFraming, reason: String) {
            context.stats.onServerAnswer(framing.label, isWhole = false)
            onFailure(SendFailure.Broken(reason))
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
            context.onRunningChanged(server)
            if (server.running == 0) server.unansweredSinceMs = null
        }
    }

    protected companion object {
        const val UNAUTHORIZED = 401
        const val UNAVAILABLE = 503
        const val BAD_REQUEST = 400
        const val TOO_MANY_REQUESTS = 429
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        const val MS_PER_S = 1_000.0
        const val STOPPING = "shutting down before a server has started the request"

        /** Time in milliseconds after which a caller may retry; another VM answers it. */
        const val STOPPING_RETRY_MS = 300L

        /** Longer than most answers take; if no server of the service sends a byte meanwhile, none may be reached. */
        const val REACH_CHECK_MS = 250L
        const val QUOTA_USED_UP = "quota used up by customer"
        const val QUOTA_UNDECIDED = "no issuer reached for the quota of customer"
        const val NO_PERMIT = "no permit left under the request limit of the server"
    }
}
