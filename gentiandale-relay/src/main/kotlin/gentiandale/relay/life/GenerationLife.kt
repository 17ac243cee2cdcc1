package gentiandale.relay.life

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.RelayEvent
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.placement.GenerationPlan
import gentiandale.relay.placement.Waiting
import gentiandale.relay.routing.Repetition
import gentiandale.relay.upstream.AnswerListener
import gentiandale.relay.upstream.GenerationSize
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Life of a request that is answered by a stream of events, made by a prefill and a decode server together. */
internal class GenerationLife(call: Call, context: RelayContext) :
    RequestLife(call, context),
    GenerationLine.Member,
    PrefillCall.Outcome {
    private class Cache(val server: Backend, val handle: String)

    private val size = context.dialect.size(call.headers) ?: DEFAULT_SIZE
    private val engine = call.rule?.engine
    private val need = GenerationMemory(size.prompt, context.answers.expect(route.name, size), size.answer)
    private val reading = HeldReading(size.prompt)
    private val room = HeldRoom(need, engine?.tokensPerEvent ?: 1, ::onRoomChanged)
    private var cache: Cache? = null
    private var prefills = 0
    private var begun = false
    private var lastNumber: Long? = lastEvent?.toLongOrNull()
    private var gapTimer: ScheduledFuture<*>? = null
    private var current: Send? = null
    private var rejections = 0
    private var retreats = 0
    private var eventMs: Long? = null

    override var waiting = Waiting(route.urgency, call.request.startMs, call.request.startMs + route.targetMs)
        private set

    override fun hasBegun(): Boolean = begun

    override fun release() {
        gapTimer?.cancel(false)
        context.line.leave(this)
        room.leave()
        reading.leave()
        cache?.let(::free)
        cache = null
    }

    override fun proceed() = context.line.enter(this)

    override fun giveBack(reason: String) = giveUp(reason)

    override fun tryBegin(): Boolean {
        val now = context.nowMs()
        val excluded = if (prefills < MAX_PREFILLS) tried else tried + prefillServers()
        val open = if (context.line.isLate(waiting)) engine?.forLateWork() else engine
        when (val plan = context.generations.plan(context.candidates(call.service), excluded, need, open, now)) {
            is GenerationPlan.NoRoom -> return false
            is GenerationPlan.NoServer -> giveUp("no decode server")
            is GenerationPlan.Place -> {
                room.take(plan.decode)
                reading.take(plan.prefill ?: plan.decode)
                logReserved(plan, now)
                context.news.confirmLoad { if (!isOver) onConfirmed(plan) }
            }
        }
        return true
    }

    /** Goes on as planned, unless others have taken the same room a moment earlier. */
    private fun onConfirmed(plan: GenerationPlan.Place) {
        val fits = context.generations.fitsBeside(plan, reading.tokens, engine, context.nowMs())
        reading.leave()
        when {
            !fits && retreats < MAX_RETREATS -> {
                retreats++
                context.log.write(RelayEvent.Retreated(call.id, plan.decode.load, plan.prefill?.load, retreats))
                room.leave()
                proceed()
            }
            plan.prefill == null -> run(plan.decode)
            else -> prefill(plan.prefill)
        }
    }

    private fun logReserved(plan: GenerationPlan.Place, now: Long) {
        val waitedMs = now - call.request.startMs
        val prefill = plan.prefill?.row?.id
        val ahead = context.line.size
        context.log.write(RelayEvent.Reserved(call.id, plan.decode.load, prefill, size, need, waitedMs, ahead))
    }

    private fun prefillServers() =
        context.candidates(call.service).filter { it.row.kind == ServerKind.PREFILL }.map { it.row.id }

    /** Tells the other VMs, and lets those that wait here look again. */
    private fun onRoomChanged() {
        context.news.onLoadChanged()
        context.loop.execute(context.line::pump)
    }

    private fun giveUp(reason: String) {
        if (runState == RunState.NOT_RUN && !begun) refuse(reason, RETRY_MS) else fail(reason)
    }

    private fun prefill(server: Backend) {
        if (prefills > 0 && !context.budgetOf(call.service).take(context.nowMs())) {
            prefills = MAX_PREFILLS
            return room.place?.let(::run) ?: giveUp("no decode server")
        }
        prefills++
        val prefill = PrefillCall(server, size.prompt, context, { outbound(server, context.dialect::askPrefill) }, this)
        val send = send(server, "prefill", Long.MAX_VALUE, prefill)
        current = send
        watchPrefill(send, 0)
    }

    /** Looks elsewhere if a prefill server has not read the prompt when all prompts told of it could have been read. */
    private fun watchPrefill(send: Send, waitedMs: Long) {
        val allReadMs = context.generations.readMs(send.server, 0) * READ_PATIENCE
        val limitMs = (allReadMs.toLong() + PREFILL_SLACK_MS).coerceAtMost(MAX_PREFILL_MS)
        if (limitMs > waitedMs) return send.onSilence(limitMs - waitedMs) { watchPrefill(send, limitMs) }
        send.failed("no KV cache in $waitedMs ms")
        send.cancel()
        tried += send.server.row.id
        restart()
    }

    /** Looks for servers anew. */
    private fun restart() {
        // The send before is over; what it still watches must not start the request once more.
        gapTimer?.cancel(false)
        current = null
        room.leave()
        if (begun) waiting = Waiting.ofBrokenStream(context.nowMs(), route.targetMs)
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
        watch(send, (readMs * READ_PATIENCE).toLong() + FIRST_EVENT_SLACK_MS, 0)
    }

    /** Moves the request to another server if [send] shows no event for [delayMs] milliseconds. */
    private fun watch(send: Send, delayMs: Long, waitedMs: Long) {
        gapTimer?.cancel(false)
        if (route.repetition != Repetition.RESUMABLE || attempts > route.maxAttempts) return
        gapTimer = context.loop.schedule({ onGap(send, delayMs, waitedMs + delayMs) }, delayMs, TimeUnit.MILLISECONDS)
    }

    /** A server that sends other events has put this request aside for a while, which is cheaper than a move. */
    private fun onGap(send: Send, delayMs: Long, waitedMs: Long) {
        if (isOver || current !== send || attempts >= route.maxAttempts) return
        val quietMs = send.server.lastByteMs?.let { context.nowMs() - it } ?: Long.MAX_VALUE
        if (quietMs < delayMs && waitedMs < MAX_GAP_MS) return watch(send, delayMs, waitedMs)
        if (context.budgetOf(call.service).left(context.nowMs()) <= 0) return
        send.failed("no event for $waitedMs ms")
        send.cancel()
        tried += send.server.row.id
        restart()
    }

    private fun noteGap() {
        val now = context.nowMs()
        eventMs?.let { gapMs = maxOf(gapMs ?: 0, now - it) }
        eventMs = now
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

    override fun onCache(server: Backend, handle: String) {
        cache = Cache(server, handle)
        // VMs that reserve at the same moment don't see each other; by now they do.
        runWithCache(room.place?.takeIf { context.generations.stillFits(it, engine, context.nowMs()) })
    }

    override fun onNoCache(server: Backend, status: Int, isRejected: Boolean) {
        if (isRejected) server.onFull(context.nowMs()) else server.onFailure(context.nowMs())
        current?.logFailure("prefill answered $status")
        context.budgetOf(call.service).take(context.nowMs())
        if (!isRejected) tried += server.row.id
        restart()
    }

    override fun onPrefillFailed(server: Backend) {
        tried += server.row.id
        restart()
    }

    /** Runs the request at [kept], or where else there is room; the KV cache lives for a moment only. */
    private fun runWithCache(kept: Backend?) {
        val server = kept ?: roomiest(tried) ?: return giveUp("no decode server")
        if (server !== room.place) room.take(server)
        run(server)
    }

    private fun roomiest(excluded: Set<ServerId>): Backend? =
        context.generations.decode(context.candidates(call.service), excluded, need, engine, context.nowMs())

    private inner class Run(private val server: Backend, private val source: Cache?) : SendHandler {
        private val splitter = EventSplitter()
        private val before = runState
        private var head: HttpResponse? = null
        private var failureBody: ByteBuf = Unpooled.EMPTY_BUFFER
        private var isReading = source == null
        private var sentMs = context.nowMs()

        init {
            if (isReading) server.promptTokens += size.prompt
        }

        override fun request(): FullHttpRequest {
            attempts++
            sentMs = context.nowMs()
            onBudgetedSend()
            runState = RunState.MAY_HAVE_RUN
            return outbound(server) { headers ->
                source?.let { context.dialect.offerCache(headers, it.server.row.address, it.handle) }
                lastEvent?.let { context.dialect.resumeAfter(headers, it) }
            }
        }

        private fun stopReading() {
            if (!isReading) return
            isReading = false
            server.promptTokens -= size.prompt
            context.news.onLoadChanged()
        }

        override fun onHead(head: HttpResponse) {
            this.head = head
        }

        override fun onContent(content: ByteBuf) {
            val answer = head ?: return
            if (isStream(answer)) {
                if (isReading) server.onPromptRead(size.prompt.toLong(), context.nowMs() - sentMs)
                stopReading()
                splitter.feed(content).forEach(::pass)
            } else if (failureBody.readableBytes() < MAX_SMALL_BYTES) {
                failureBody = Unpooled.wrappedBuffer(failureBody, content.retain())
            }
        }

        private fun pass(event: StreamEvent) {
            if (isOver || isKnown(event)) {
                event.bytes.release()
                return
            }
            begin()
            event.id?.let {
                lastNumber = it
                lastEvent = it.toString()
            }
            room.onEvent()
            noteGap()
            call.reply.part(event.bytes)
            current?.let { watch(it, EVENT_GAP_MS, 0) }
        }

        /** A server that resumes a stream may begin with events that the caller has. */
        private fun isKnown(event: StreamEvent): Boolean {
            val id = event.id ?: return false
            return lastNumber?.let { id <= it } ?: false
        }

        private fun begin() {
            val answer = head ?: return
            if (begun) return
            begun = true
            firstMs = context.nowMs() - call.request.startMs
            call.reply.begin(answer.status().code(), answer.headers().endToEnd())
        }

        override fun onEnd() {
            stopReading()
            val answer = head ?: return
            if (isStream(answer)) {
                begin()
                val rest = splitter.takeRest()
                if (rest.isReadable) call.reply.part(rest) else rest.release()
                call.reply.end()
                context.answers.observe(route.name, need.made)
                return finish("answered", answer.status().code())
            }
            val status = answer.status()
            if (context.dialect.isNotExecuted(
                    status.code(),
                    answer.headers(),
                )
            ) {
                onRejected(status.code())
            } else {
                onBad(answer)
            }
        }

        private fun onRejected(status: Int) {
            failureBody.release()
            runState = before
            attempts--
            rejections++
            current?.logFailure("not executed: $status")
            if (rejections > MAX_REJECTIONS) return giveUp("rejected by ${server.row.id} with $status")
            server.onFull(context.nowMs())
            // If the server was full, another one takes the KV cache; if that has lapsed, a round trip is lost.
            val other = source?.takeIf { rejections == 1 }?.let { roomiest(tried + server.row.id) } ?: return restart()
            cache = source
            runWithCache(other)
        }

        private fun onBad(answer: HttpResponse) {
            val status = answer.status()
            current?.failed("answer ${status.code()}")
            tried += server.row.id
            when {
                status.codeClass() != HttpStatusClass.CLIENT_ERROR && canRepeat() -> restart()
                begun || !isPassable(answer) -> fail("answer ${status.code()} of ${server.row.id}")
                else -> {
                    call.reply.answer(status.code(), answer.headers().endToEnd(), failureBody.retain())
                    finish("answered", status.code())
                }
            }
            failureBody.release()
        }

        override fun onDropped() {
            stopReading()
            splitter.clear()
            failureBody.release()
        }

        override fun onFailure(failure: SendFailure) {
            onDropped()
            tried += server.row.id
            when {
                failure is SendFailure.NotSent && source != null -> {
                    cache = source
                    runWithCache(null)
                }
                failure is SendFailure.NotSent || canRepeat() -> restart()
                else -> fail(failure.reason)
            }
        }

        /** Whether a failure can be passed on as it is: one that promises too much can't. */
        private fun isPassable(answer: HttpResponse): Boolean {
            val status = answer.status()
            val promises = status.code() in PROMISES && route.repetition == Repetition.AT_MOST_ONCE
            val encoded = answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
            return status.codeClass() != HttpStatusClass.SUCCESS && !promises && !encoded
        }

        private fun canRepeat() = mayRepeat() && context.budgetOf(call.service).left(context.nowMs()) > 0

        private fun isStream(answer: HttpResponse): Boolean =
            answer.status().codeClass() == HttpStatusClass.SUCCESS &&
                context.dialect.isSigned(answer.headers()) &&
                !answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
    }

    private companion object {
        /** Assumed of a request that does not state its size. */
        val DEFAULT_SIZE = GenerationSize(prompt = 1_000, answer = 100, expected = 100)

        /** Places that a request leaves to others; then it takes its chance. */
        const val MAX_RETREATS = 4

        /** Prefill calls of one request before a decode server reads the prompt itself. */
        const val MAX_PREFILLS = 2

        /** Refusals of servers before the request is given back to its caller. */
        const val MAX_REJECTIONS = 4

        /** A prompt that takes this many times as long as expected is not waited for. */
        const val READ_PATIENCE = 2.0

        /** Longest time that a prefill may take, in milliseconds; its caller waits for the first event. */
        const val MAX_PREFILL_MS = 700L

        /** Time for the call itself, in milliseconds: connection, way, and the rest of a step. */
        const val PREFILL_SLACK_MS = 150L

        /** A caller waits for the first event for about four times its target; reading a prompt again costs more. */
        const val FIRST_EVENT_SLACK_MS = 1_200L

        /** A pause that makes a stream late and is longer than a lost packet takes. */
        const val EVENT_GAP_MS = 1_000L

        /** A caller gives up after a little more than this. */
        const val MAX_GAP_MS = 2_200L

        /** Answers to prefills and failures are small. */
        const val MAX_SMALL_BYTES = 65_536

        /** Time in which an engine finishes a few requests. */
        const val RETRY_MS = 1_000L

        /** Statuses that promise that the request has not run. */
        val PROMISES = setOf(408, 421, 429, 503)
    }
}
