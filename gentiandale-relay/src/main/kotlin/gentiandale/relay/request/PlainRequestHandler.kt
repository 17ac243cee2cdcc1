package gentiandale.relay.request

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.backend.Backend
import gentiandale.relay.forward.ForwardPath
import gentiandale.relay.placement.CapacityStep
import gentiandale.relay.placement.RejectionStep
import gentiandale.relay.routing.Repetition
import gentiandale.relay.routing.RoutingTable
import gentiandale.relay.upstream.AnswerFraming
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.concurrent.ScheduledFuture

/** Handles a request whose answer is not an event stream. */
internal class PlainRequestHandler(routed: RoutedRequest, context: RelayContext) :
    RequestHandler(routed, context),
    PermitWait.Owner,
    CapacityWait.Owner {
    private var hasBegunAnswer = false
    private var unsentCount = 0
    private var rejections = 0
    private var rejectedBy: Backend? = null
    private var rejection = ""
    private var waitTimer: ScheduledFuture<*>? = null
    private val permitWait = PermitWait(context, guard, { this.routed }, this)
    private val capacityWait = CapacityWait(context, guard, { this.routed }, this)
    private var currentSend: Send? = null

    /** Send to a server without an answer so far, which stays open until another one answers. */
    private var silent: Send? = null
    private val sentTo = HashSet<ServerId>()
    private val fullServers = HashSet<ServerId>()

    override fun hasBegun(): Boolean = hasBegunAnswer

    override fun releaseResources() {
        if (waitTimer?.cancel(false) == true) context.waitingCalls--
        permitWait.stop()
        capacityWait.cancel("ended")
    }

    override fun dispatch() {
        if (endIfCrashSuspect()) return
        when (val path = path()) {
            is ForwardPath.Direct -> onCapacity(nextForCapacity() ?: return)
            is ForwardPath.ByPeer -> place()
            is ForwardPath.AwaitPeers -> awaitPeers()
            is ForwardPath.Nowhere -> refuseOrFail(path.reason)
        }
    }

    /** Returns what the call does next, or null if it waits for capacity now. */
    private fun nextForCapacity(): CapacityStep? {
        if (!context.capacity.hasQueue(routed.service) || path() !is ForwardPath.Direct) return CapacityStep.Place
        val servers = allowedServers().filter(::isHealthy)
        if (servers.isEmpty() || servers.any { it.row.kind != ServerKind.PLAIN }) return CapacityStep.Place
        return capacityWait.next(servers.any { it.load.running < it.row.places }, rejections)
    }

    private fun isHealthy(server: Backend) = server.row.id !in tried || server.row.id in fullServers

    override fun capacityNeed(): CapacityNeed {
        val durationMs = allowedServers().minOfOrNull { it.latencyMs.toLong() } ?: MIN_RETRY_TIME_MS
        return CapacityNeed(routed.deadlineMs, durationMs, MIN_RETRY_TIME_MS)
    }

    override fun canUse(server: ServerId?): Boolean = path() !is ForwardPath.Direct ||
        allowedServers().any { (server == null || it.row.id == server) && isHealthy(it) }

    override fun onCapacity(step: CapacityStep) {
        val full = rejectedBy
        when (step) {
            is CapacityStep.Refuse -> refuse(step.reason, step.retryAfterMs, step.isExact)
            is CapacityStep.Send -> {
                retryFullServers()
                if (path() is ForwardPath.Direct) place(step.server) else dispatch()
            }
            is CapacityStep.FallBack -> if (full == null || hasPermit()) place() else pollAfterRejection(full)
            is CapacityStep.Place, is CapacityStep.Ask -> place()
        }
    }

    override fun onMoved(table: RoutingTable) {
        if (runState != RunState.NOT_RUN) return place()
        routed = routed.movedTo(table, context.random)
            ?: return refuse("the route no longer leads to ${routed.service.value}", NO_SERVER_RETRY_MS)
        dispatch()
    }

    private fun place(granted: ServerId? = null) {
        val servers = allowedServers()
        val knowsAll = context.capacity.hasQueue(routed.service)
        val server = servers.find { it.row.id == granted }
            ?: context.plainPlacement.choose(servers, tried, context.nowMs(), knowsAll) ?: return onNoServer()
        permits.take(server)
        if (!retries.take()) return refuseOrFail("retry budget of ${routed.service.value} exhausted")
        val isOnce = route.repetition == Repetition.AT_MOST_ONCE
        val operation = if (server.isPeer) "forward" else "run"
        val send = send(server, operation, if (isOnce) MAX_IDLE_MS else Long.MAX_VALUE, Attempt(server))
        if (!isOnce && attempts + 1 < route.maxAttempts) send.ifUnanswered(ANSWER_TIMEOUT_MS) { onNoAnswer(send) }
        currentSend = send
    }

    private fun onNoServer() {
        if (lacksPermits { isAllowed(it) && it.row.id !in tried }) return permitWait.begin()
        if (tried.isEmpty()) refuse("no server", noServerRetryMs()) else refuseOrFail("no other server")
    }

    private fun lacksPermits(isPossible: (Backend) -> Boolean) =
        path() is ForwardPath.Direct && context.lacksPermits(routed.service, isPossible)

    override fun hasPermit() = allowedServers().any { it.row.id !in tried }

    override fun onPermit() = dispatch()

    override fun onNoPermit(reason: String) = refuseOrFail(reason)

    /** Returns the servers that the request may be sent to: if its route allows no more, those that it was sent to. */
    private fun allowedServers(): List<Backend> = candidates().filter(::isAllowed)

    private fun isAllowed(server: Backend): Boolean =
        server.row.kind != ServerKind.PREFILL && (sentTo.size < route.maxAttempts || server.row.id in sentTo)

    /** Asks for capacity, tries another server, or refuses the request, which [server] has rejected with [status]. */
    private fun afterRejection(server: Backend, status: Int) {
        rejections++
        rejectedBy = server
        rejection = "rejected by ${server.row.id} with $status"
        if (context.restLeftMs(routed.service) != null) return refuseOrFail(rejection)
        val step = nextForCapacity() ?: return
        if (step is CapacityStep.Refuse) onCapacity(step) else pollAfterRejection(server)
    }

    /** Tries another server, waits for a place, or refuses the request, which [server] has rejected as it was full. */
    private fun pollAfterRejection(server: Backend) {
        val step = context.policies.rejections.next(
            rejections = rejections,
            untried = allowedServers().any { it.row.id !in tried },
            elapsedMs = context.nowMs() - routed.request.startMs,
            targetMs = minOf(route.targetMs, routed.deadlineMs - routed.request.startMs),
            serviceMs = server.latencyMs,
            waiting = context.waitingCalls,
        )
        when (step) {
            is RejectionStep.TryAnother -> dispatch()
            is RejectionStep.Refuse -> refuseOrFail(rejection)
            is RejectionStep.Wait -> {
                context.waitingCalls++
                waitTimer = schedule(step.delayMs, ::afterWait)
            }
        }
    }

    /** Tries the servers again that were full. */
    private fun afterWait() {
        context.waitingCalls--
        waitTimer = null
        if (isOver) return
        retryFullServers()
        dispatch()
    }

    private fun retryFullServers() {
        tried -= fullServers
        fullServers.clear()
    }

    /**
     * Tries another server after [ANSWER_TIMEOUT_MS] without an answer, or later when there is one: a server that this
     * VM has a permit for, or a peer if it turns out that it reaches no server. Until then the answer is awaited.
     */
    private fun onNoAnswer(send: Send) {
        val isOther = { server: Backend -> server !== send.server && server.row.id !in tried }
        if (allowedServers().none(isOther)) return send.ifUnanswered(PermitWait.RECHECK_MS) { onNoAnswer(send) }
        if (!mayRetry() || !retries.isAvailable) return
        tried += send.server.row.id
        if (send.isSent) {
            send.onSilence()
            silent = send
        } else {
            send.recordFailure("not connected within $ANSWER_TIMEOUT_MS ms")
            send.cancel()
        }
        dispatch()
    }

    /** Leaves the silent server if that of [attempt], sent at [sentMs], responds; until then both may answer. */
    private fun onOverlapEnd(attempt: Attempt, sentMs: Long) {
        if (silent == null || currentSend?.handler !== attempt) return
        val isHeard = (attempt.server.lastByteMs ?: Long.MIN_VALUE) >= sentMs
        if (isHeard) leaveSilentServer() else schedule(MAX_OVERLAP_MS) { onOverlapEnd(attempt, sentMs) }
    }

    private fun leaveSilentServer() {
        val left = silent ?: return
        silent = null
        left.logFailure("no answer within $ANSWER_TIMEOUT_MS ms")
        left.cancel()
    }

    override fun returnToServer(reason: String): Boolean {
        val previous = silent ?: return false
        silent = null
        currentSend?.takeIf { it !== previous }?.also { unheard += it.server.row.id }?.cancel()
        currentSend = previous
        releaseResources()
        permits.release()
        return true
    }

    private fun noServerRetryMs() = context.restLeftMs(routed.service) ?: NO_SERVER_RETRY_MS

    private fun refuseOrFail(reason: String) {
        val retryMs = context.restLeftMs(routed.service)
            ?: if (lacksPermits(::isAllowed)) LIMITED_RETRY_MS else FULL_RETRY_MS
        if (runState == RunState.NOT_RUN) refuse(reason, retryMs) else fail(reason)
    }

    private inner class Attempt(val server: Backend) : SendHandler {
        private var head: HttpResponse? = null
        private val body = AnswerBuffer(MAX_BUFFERED_BYTES)
        private var stateBeforeSend = runState

        override fun request(): FullHttpRequest {
            attempts++
            sentTo += server.row.id
            retries.onSend()
            runState = RunState.MAY_HAVE_RUN
            val sentMs = context.nowMs()
            if (silent != null) schedule(MAX_OVERLAP_MS) { onOverlapEnd(this, sentMs) }
            return buildRequest(server) { }
        }

        private val isAtSilentServer get() = silent?.handler === this

        override fun onHead(head: HttpResponse) {
            this.head = head
            if (!isSuccess()) return
            if (isAtSilentServer) returnToServer("the server answers") else leaveSilentServer()
        }

        override fun onContent(content: ByteBuf): BodyVerdict {
            if (!hasBegunAnswer) {
                if (body.append(content)) return BodyVerdict.Continue
                val isForwarded = isFinal() && isSuccess()
                if (!isForwarded) return BodyVerdict.GiveUp("unusable answer over $MAX_BUFFERED_BYTES bytes")
                beginForwarding()
            }
            progress.onPart(context.nowMs(), content.readableBytes())
            routed.reply.part(content.retain())
            return BodyVerdict.Continue
        }

        override fun judgeEnd(framing: AnswerFraming): AnswerEnd = AnswerEnd.ofPlain(framing, isSuccess())

        override fun onEnd() {
            val answer = head ?: return
            val status = answer.status().code()
            if (hasBegunAnswer) {
                crashSuspect.onAnswered(server)
                routed.reply.end()
                return finish("answered", status)
            }
            if (context.dialect.isNotExecuted(status, answer.headers())) return onRejected(answer)
            crashSuspect.onAnswered(server)
            when {
                !isSuccess() && goesOnElsewhere("unusable answer: status $status") -> Unit
                !isFinal() -> onBadAnswer(status)
                else -> {
                    progress.onPart(context.nowMs(), body.content.readableBytes())
                    routed.reply.answer(status, answer.headers().endToEnd(), body.take())
                    finish("answered", status)
                }
            }
        }

        override fun onFailure(failure: SendFailure) {
            body.release()
            if (hasBegunAnswer) return fail(failure.reason)
            if (failure is SendFailure.Broken) crashSuspect.onBroken(server)
            tried += server.row.id
            if (isAtSilentServer) {
                silent = null
                return
            }
            if (failure is SendFailure.NotSent) {
                unsentCount++
                if (unsentCount > MAX_UNSENT_FAILURES) refuseOrFail(failure.reason) else dispatch()
            } else {
                retryOr { fail(failure.reason) }
            }
        }

        override fun release() {
            if (!hasBegunAnswer) body.release()
        }

        /** Returns whether another server still works on the request, so that an error of this one ends nothing. */
        private fun goesOnElsewhere(reason: String): Boolean {
            if (silent == null) return false
            body.release()
            if (!isAtSilentServer) return returnToServer(reason)
            silent?.logFailure(reason)
            silent = null
            return true
        }

        /** Handles the statement of the server that it has not executed the request. */
        private fun onRejected(answer: HttpResponse) {
            val status = answer.status().code()
            body.release()
            attempts--
            if (isAtSilentServer) {
                goesOnElsewhere("request not executed: status $status")
                return
            }
            runState = stateBeforeSend
            tried += server.row.id
            currentSend?.logFailure("request not executed: status $status")
            if (onRefused(server, answer.headers())?.isUnreached == true) return dispatch()
            fullServers += server.row.id
            server.onFull(context.nowMs())
            afterRejection(server, status)
        }

        /** Handles an answer that can't be forwarded as it is, or a failure that another server may not have. */
        private fun onBadAnswer(status: Int) {
            currentSend?.recordFailure("unusable answer: status $status")
            tried += server.row.id
            val answer = head
            val kept = body.take()
            retryOr {
                if (answer != null && canForward(answer)) {
                    routed.reply.answer(status, answer.headers().endToEnd(), kept.retain())
                    finish("answered", status)
                } else {
                    fail("unusable answer of ${server.row.id}: status $status")
                }
            }
            kept.release()
        }

        private fun retryOr(otherwise: () -> Unit) {
            val another = path() is ForwardPath.AwaitPeers || candidates().any { it.row.id !in tried }
            val useful = another && retries.isAvailable && leftMs() > MIN_RETRY_TIME_MS && mayGoOn()
            if (useful) dispatch() else otherwise()
        }

        /** Whether the answer ends the request: a success, or a server error that must not be retried. */
        private fun isFinal(): Boolean {
            val answer = head ?: return false
            if (!canForward(answer)) return false
            val failed = answer.status().codeClass() == HttpStatusClass.SERVER_ERROR
            return !failed || !mayGoOn()
        }

        private fun isSuccess() = head?.status()?.codeClass() == HttpStatusClass.SUCCESS

        private fun beginForwarding() {
            val answer = head ?: return
            hasBegunAnswer = true
            progress.onPart(context.nowMs(), body.content.readableBytes())
            routed.reply.begin(answer.status().code(), answer.headers().endToEnd())
            routed.reply.part(body.take())
        }
    }

    private companion object {
        /** For at-most-once requests, which could be lost on a longer idle connection that the server is closing. */
        const val MAX_IDLE_MS = 1_000L

        /** Several times the duration of a plain call; its latency target is missed by then. */
        const val ANSWER_TIMEOUT_MS = 150L

        /** Time in milliseconds for which two servers may work on a call if the second one responds. */
        const val MAX_OVERLAP_MS = 250L

        /** Larger successes are forwarded while they arrive; larger errors are given up. */
        const val MAX_BUFFERED_BYTES = 262_144

        /** Sends that may fail before a byte has left; with one more, the request is given up. */
        const val MAX_UNSENT_FAILURES = 4

        /** Shorter than a call takes; with less time left, a retry would only add load. */
        const val MIN_RETRY_TIME_MS = 20L

        /** Servers that fail together are usually back or replaced within this time. */
        const val NO_SERVER_RETRY_MS = 300L

        /** A full server usually accepts requests again within this time. */
        const val FULL_RETRY_MS = 100L

        /** By then another VM or this one has got new permits; a longer time would often exceed what callers wait. */
        const val LIMITED_RETRY_MS = 200L
    }
}
