package gentiandale.relay.life

import gentiandale.core.ServerKind
import gentiandale.relay.backend.Backend
import gentiandale.relay.routing.Repetition
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass

/** Life of a request whose answer is passed on as a whole. */
internal class PlainLife(call: Call, context: RelayContext) : RequestLife(call, context) {
    private var begun = false
    private var unsentFailures = 0
    private var attempt: Send? = null

    override fun hasBegun(): Boolean = begun

    override fun release() = Unit

    override fun proceed() {
        val servers = context.candidates(call.service).filter { it.row.kind != ServerKind.PREFILL }
        val server = context.plain.choose(servers, tried, context.nowMs())
            ?: return if (tried.isEmpty()) refuse("no server", NO_SERVER_RETRY_MS) else giveUp("no other server")
        if (!takeBudget()) return giveUp("the retry budget is spent")
        val isOnce = route.repetition == Repetition.AT_MOST_ONCE
        val send = send(server, "run", if (isOnce) FRESH_IDLE_MS else Long.MAX_VALUE, Attempt(server))
        if (!isOnce && attempts + 1 < route.maxAttempts) send.onSilence(HANG_MS) { onHang(send) }
        attempt = send
    }

    /** The server has not answered for long; another one may. */
    private fun onHang(send: Send) {
        if (!mayRepeat() || context.budgetOf(call.service).left(context.nowMs()) <= 0) return
        send.failed("no answer in $HANG_MS ms")
        send.cancel()
        tried += send.server.row.id
        proceed()
    }

    private fun giveUp(reason: String) {
        if (runState == RunState.NOT_RUN) refuse(reason, FULL_RETRY_MS) else fail(reason)
    }

    private inner class Attempt(private val server: Backend) : SendHandler {
        private var head: HttpResponse? = null
        private var body: ByteBuf = Unpooled.EMPTY_BUFFER
        private var before = runState

        override fun request(): FullHttpRequest {
            attempts++
            onBudgetedSend()
            runState = RunState.MAY_HAVE_RUN
            return outbound(server) { }
        }

        override fun onHead(head: HttpResponse) {
            this.head = head
        }

        override fun onContent(content: ByteBuf) {
            if (begun) return call.reply.part(content.retain())
            body = Unpooled.wrappedBuffer(body, content.retain())
            if (body.readableBytes() > MAX_WHOLE_BYTES && isFinal()) passOn()
        }

        override fun onEnd() {
            val answer = head ?: return
            val status = answer.status().code()
            if (begun) {
                call.reply.end()
                return finish("answered", status)
            }
            if (context.dialect.isNotExecuted(status, answer.headers())) return onRejected(status)
            if (!isFinal()) return onBadAnswer(status)
            progress.onPart(context.nowMs())
            call.reply.answer(status, answer.headers().endToEnd(), body)
            finish("answered", status)
        }

        override fun onFailure(failure: SendFailure) {
            body.release()
            if (begun) return fail(failure.reason)
            tried += server.row.id
            if (failure is SendFailure.NotSent) {
                unsentFailures++
                if (unsentFailures > MAX_UNSENT) giveUp(failure.reason) else proceed()
            } else {
                repeatOr { fail(failure.reason) }
            }
        }

        override fun onDropped() {
            if (!begun) body.release()
        }

        /** The server states that it has not run the request. */
        private fun onRejected(status: Int) {
            body.release()
            runState = before
            tried += server.row.id
            server.onFull(context.nowMs())
            attempt?.logFailure("not executed: $status")
            if (attempts < route.maxAttempts) proceed() else giveUp("rejected by ${server.row.id} with $status")
        }

        /** The answer of the server can't be passed on as it is, or another server may do better. */
        private fun onBadAnswer(status: Int) {
            attempt?.failed("answer $status")
            tried += server.row.id
            val answer = head
            val kept = body
            repeatOr {
                if (answer != null && isPassable(answer)) {
                    call.reply.answer(status, answer.headers().endToEnd(), kept.retain())
                    finish("answered", status)
                } else {
                    fail("answer $status of ${server.row.id} can't be passed on")
                }
            }
            kept.release()
        }

        private fun repeatOr(otherwise: () -> Unit) {
            val another = context.candidates(call.service).any { it.row.id !in tried }
            val budget = context.budgetOf(call.service).left(context.nowMs()) > 0
            val useful = another && budget && leftMs() > MIN_LEFT_MS
            if (useful && mayRepeat()) proceed() else otherwise()
        }

        /** Whether the answer ends the request: a success, or a failure that no other server would mend. */
        private fun isFinal(): Boolean {
            val answer = head ?: return false
            if (!isPassable(answer)) return false
            val failed = answer.status().codeClass() == HttpStatusClass.SERVER_ERROR
            return !failed || !mayRepeat()
        }

        private fun passOn() {
            val answer = head ?: return
            begun = true
            progress.onPart(context.nowMs())
            call.reply.begin(answer.status().code(), answer.headers().endToEnd())
            call.reply.part(body)
            body = Unpooled.EMPTY_BUFFER
        }
    }

    private companion object {
        /** A connection that has rested for longer may be closing at the server; a request on it could be lost. */
        const val FRESH_IDLE_MS = 1_000L

        /** Several times the work of a plain call; its target is missed by then. */
        const val HANG_MS = 150L

        /** Larger answers are passed on while they arrive. */
        const val MAX_WHOLE_BYTES = 262_144

        /** Servers that can't be reached before the request is given back. */
        const val MAX_UNSENT = 4

        /** Less time than a call takes; a repeat would only add load. */
        const val MIN_LEFT_MS = 20L

        /** Time in which servers that vanished together are usually back or replaced. */
        const val NO_SERVER_RETRY_MS = 300L

        /** Time in which a full server has places again. */
        const val FULL_RETRY_MS = 100L
    }
}
