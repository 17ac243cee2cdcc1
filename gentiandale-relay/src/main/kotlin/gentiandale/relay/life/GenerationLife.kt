package gentiandale.relay.life

import gentiandale.core.ServerKind
import gentiandale.relay.backend.Backend
import gentiandale.relay.placement.GenerationPlan
import gentiandale.relay.routing.Repetition
import gentiandale.relay.upstream.AnswerListener
import gentiandale.relay.upstream.GenerationSize
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Life of a request that is answered by a stream of events, made by a prefill and a decode server together. */
internal class GenerationLife(call: Call, context: RelayContext) : RequestLife(call, context) {
    private class Cache(val server: Backend, val handle: String)

    private val size = context.dialect.size(call.headers) ?: DEFAULT_SIZE
    private val engine = call.rule?.engine
    private var cache: Cache? = null
    private var prefills = 0
    private var begun = false
    private var lastEvent: String? = context.dialect.lastEventId(call.headers)
    private var lastNumber: Long? = lastEvent?.toLongOrNull()
    private var gapTimer: ScheduledFuture<*>? = null
    private var current: Send? = null
    private var rejections = 0

    override fun hasBegun(): Boolean = begun

    override fun release() {
        gapTimer?.cancel(false)
        cache?.let(::free)
        cache = null
    }

    override fun proceed() {
        val now = context.nowMs()
        val candidates = context.candidates(call.service)
        val engines = if (prefills < MAX_PREFILLS) candidates else candidates.filter { it.row.kind != ServerKind.PREFILL }
        when (val plan = context.generations.plan(engines, tried, size.prompt, now)) {
            is GenerationPlan.HandOver -> prefill(plan.prefill)
            is GenerationPlan.OnDecode -> run(plan.decode)
            null -> retryTried(candidates, now)
        }
    }

    /** Every server has been tried; one that was merely full may have room by now. */
    private fun retryTried(candidates: List<Backend>, now: Long) {
        val again = context.generations.decode(candidates, emptySet(), size.prompt + size.answer, engine, now)
        if (again == null || rejections == 0 || rejections > MAX_REJECTIONS) return giveUp("no decode server")
        run(again)
    }

    private fun giveUp(reason: String) {
        if (runState == RunState.NOT_RUN && !begun) refuse(reason, RETRY_MS) else fail(reason)
    }

    private fun prefill(server: Backend) {
        if (prefills > 0 && !context.budgetOf(call.service).take(context.nowMs())) return runWithoutPrefill()
        prefills++
        val waitMs = context.generations.readMs(server, size.prompt)
        val send = send(server, "prefill", Long.MAX_VALUE, Prefill(server))
        current = send
        send.onSilence((waitMs * READ_PATIENCE).toLong() + PREFILL_SLACK_MS) {
            send.failed("no KV cache in time")
            send.cancel()
            tried += server.row.id
            proceed()
        }
        server.promptTokens += size.prompt
    }

    private fun runWithoutPrefill() {
        prefills = MAX_PREFILLS
        proceed()
    }

    /** Runs the request on [server], with the KV cache that is there, or by reading the prompt anew. */
    private fun run(server: Backend) {
        if (attempts > 0 && runState == RunState.MAY_HAVE_RUN && !mayRepeat()) return fail("no attempt is left")
        if (!takeBudget()) return giveUp("the retry budget is spent")
        val source = cache
        cache = null
        val send = send(server, if (source == null) "run" else "decode", Long.MAX_VALUE, Run(server, source))
        current = send
        val readMs = if (source == null) context.generations.readMs(server, size.prompt) else 0.0
        watch(send, (readMs * READ_PATIENCE).toLong() + FIRST_EVENT_SLACK_MS)
    }

    /** Moves the request to another server if [send] shows no event for [delayMs] milliseconds. */
    private fun watch(send: Send, delayMs: Long) {
        gapTimer?.cancel(false)
        if (route.repetition != Repetition.RESUMABLE || attempts >= route.maxAttempts) return
        gapTimer = context.loop.schedule({ onGap(send, delayMs) }, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun onGap(send: Send, delayMs: Long) {
        if (isOver || current !== send || attempts >= route.maxAttempts) return
        if (context.budgetOf(call.service).left(context.nowMs()) <= 0) return
        send.failed("no event for $delayMs ms")
        send.cancel()
        tried += send.server.row.id
        proceed()
    }

    private fun free(unused: Cache) {
        val listener = object : AnswerListener {
            override fun onConnected(): FullHttpRequest = context.dialect.releaseCache(unused.handle)

            override fun onHead(head: HttpResponse) = Unit

            override fun onContent(content: ByteBuf) = Unit

            override fun onEnd() = Unit

            override fun onFailure(failure: SendFailure) = Unit
        }
        context.upstreams.send(unused.server, null, Long.MAX_VALUE, listener)
    }

    private inner class Prefill(private val server: Backend) : SendHandler {
        private var status = HttpResponseStatus.OK
        private var headers: HttpHeaders? = null
        private var body: ByteBuf = Unpooled.EMPTY_BUFFER
        private var sentMs = context.nowMs()
        private val queued = server.promptTokens + server.otherPromptTokens + size.prompt

        override fun request(): FullHttpRequest {
            sentMs = context.nowMs()
            return outbound(server, context.dialect::askPrefill)
        }

        override fun onHead(head: HttpResponse) {
            status = head.status()
            headers = head.headers()
        }

        override fun onContent(content: ByteBuf) {
            if (body.readableBytes() < MAX_SMALL_BYTES) body = Unpooled.wrappedBuffer(body, content.retain())
        }

        override fun onEnd() {
            server.promptTokens -= size.prompt
            val handle = if (status == HttpResponseStatus.OK) context.dialect.prefillHandle(body) else null
            body.release()
            if (handle == null) return onUnusable()
            server.onPromptRead(queued, context.nowMs() - sentMs)
            cache = Cache(server, handle)
            val tokens = size.prompt + size.answer
            val now = context.nowMs()
            val decode = context.generations.decode(context.candidates(call.service), tried, tokens, engine, now)
            if (decode == null) giveUp("no decode server") else run(decode)
        }

        private fun onUnusable() {
            val rejected = headers?.let { context.dialect.isNotExecuted(status.code(), it) } ?: false
            if (rejected) server.onFull(context.nowMs()) else server.onFailure(context.nowMs())
            current?.logFailure("prefill answered ${status.code()}")
            context.budgetOf(call.service).take(context.nowMs())
            tried += server.row.id
            proceed()
        }

        override fun onFailure(failure: SendFailure) {
            onDropped()
            tried += server.row.id
            proceed()
        }

        override fun onDropped() {
            server.promptTokens -= size.prompt
            body.release()
        }
    }

    private inner class Run(private val server: Backend, private val source: Cache?) : SendHandler {
        private val splitter = EventSplitter()
        private val before = runState
        private var head: HttpResponse? = null
        private var failureBody: ByteBuf = Unpooled.EMPTY_BUFFER
        private var isReading = false
        private var isCounted = true

        init {
            server.memoryTokens += size.prompt + size.answer
            if (source == null) {
                server.promptTokens += size.prompt
                isReading = true
            }
        }

        override fun request(): FullHttpRequest {
            attempts++
            onBudgetedSend()
            runState = RunState.MAY_HAVE_RUN
            return outbound(server) { headers ->
                source?.let { context.dialect.offerCache(headers, it.server.row.address, it.handle) }
                lastEvent?.let { context.dialect.resumeAfter(headers, it) }
            }
        }

        /** Takes this run out of what the server is believed to hold. */
        private fun settle() {
            stopReading()
            if (!isCounted) return
            isCounted = false
            server.memoryTokens -= size.prompt + size.answer
        }

        private fun stopReading() {
            if (isReading) server.promptTokens -= size.prompt
            isReading = false
        }

        override fun onHead(head: HttpResponse) {
            this.head = head
            if (isStream(head)) stopReading()
        }

        override fun onContent(content: ByteBuf) {
            val answer = head ?: return
            if (isStream(answer)) {
                splitter.feed(content).forEach(::pass)
            } else if (failureBody.readableBytes() < MAX_SMALL_BYTES) {
                failureBody = Unpooled.wrappedBuffer(failureBody, content.retain())
            }
        }

        private fun pass(event: StreamEvent) {
            val known = lastNumber
            if (isOver || (event.id != null && known != null && event.id <= known)) {
                event.bytes.release()
                return
            }
            begin()
            event.id?.let {
                lastNumber = it
                lastEvent = it.toString()
            }
            call.reply.part(event.bytes)
            current?.let { watch(it, EVENT_GAP_MS) }
        }

        private fun begin() {
            val answer = head ?: return
            if (begun) return
            begun = true
            firstMs = context.nowMs() - call.request.startMs
            call.reply.begin(answer.status().code(), answer.headers().endToEnd())
        }

        override fun onEnd() {
            settle()
            val answer = head ?: return
            if (isStream(answer)) {
                begin()
                val rest = splitter.takeRest()
                if (rest.isReadable) call.reply.part(rest) else rest.release()
                call.reply.end()
                return finish("answered", answer.status().code())
            }
            val status = answer.status()
            if (context.dialect.isNotExecuted(status.code(), answer.headers())) onRejected(status.code()) else onBad(answer)
        }

        private fun onRejected(status: Int) {
            failureBody.release()
            runState = before
            attempts--
            rejections++
            current?.logFailure("not executed: $status")
            if (rejections > MAX_REJECTIONS) return giveUp("rejected by ${server.row.id} with $status")
            if (source == null) {
                server.onFull(context.nowMs())
                tried += server.row.id
            }
            proceedAfterRejection()
        }

        /** The KV cache has lapsed, or the server was full: the same server may read the prompt itself. */
        private fun proceedAfterRejection() {
            if (source != null && server.takesWork && server.row.id !in tried) run(server) else proceed()
        }

        private fun onBad(answer: HttpResponse) {
            val status = answer.status()
            current?.failed("answer ${status.code()}")
            tried += server.row.id
            val promises = status.code() in PROMISES && route.repetition == Repetition.AT_MOST_ONCE
            val encoded = answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
            val isFailure = status.codeClass() != HttpStatusClass.SUCCESS
            when {
                status.codeClass() != HttpStatusClass.CLIENT_ERROR && canRepeat() -> proceed()
                begun || promises || encoded || !isFailure -> fail("answer ${status.code()} of ${server.row.id}")
                else -> {
                    call.reply.answer(status.code(), answer.headers().endToEnd(), failureBody.retain())
                    finish("answered", status.code())
                }
            }
            failureBody.release()
        }

        override fun onDropped() {
            settle()
            splitter.clear()
            failureBody.release()
        }

        override fun onFailure(failure: SendFailure) {
            onDropped()
            tried += server.row.id
            when {
                failure is SendFailure.NotSent -> {
                    cache = source
                    val tokens = size.prompt + size.answer
                    val now = context.nowMs()
                    val other = source?.let {
                        context.generations.decode(context.candidates(call.service), tried, tokens, engine, now)
                    }
                    if (other != null) run(other) else proceed()
                }
                canRepeat() -> proceed()
                else -> fail(failure.reason)
            }
        }

        private fun canRepeat() = mayRepeat() && context.budgetOf(call.service).left(context.nowMs()) > 0

        private fun isStream(answer: HttpResponse): Boolean =
            answer.status().codeClass() == HttpStatusClass.SUCCESS &&
                context.dialect.isSigned(answer.headers()) &&
                !answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
    }

    private companion object {
        /** Assumed of a request that does not state its size. */
        val DEFAULT_SIZE = GenerationSize(prompt = 1_000, answer = 100)

        /** Prefill calls of one request before a decode server reads the prompt itself. */
        const val MAX_PREFILLS = 2

        /** Refusals of servers before the request is given back to its caller. */
        const val MAX_REJECTIONS = 4

        /** A prompt that takes this many times as long as expected is not waited for. */
        const val READ_PATIENCE = 2.0

        /** Time for the call itself, in milliseconds: connection, way, and the rest of a step. */
        const val PREFILL_SLACK_MS = 150L
        const val FIRST_EVENT_SLACK_MS = 400L

        /** A pause that makes a stream late and is longer than a lost packet takes. */
        const val EVENT_GAP_MS = 600L

        /** Answers to prefills and failures are small. */
        const val MAX_SMALL_BYTES = 65_536

        /** Time in which an engine finishes a few requests. */
        const val RETRY_MS = 300L

        /** Statuses that promise that the request has not run. */
        val PROMISES = setOf(408, 421, 429, 503)
    }
}
