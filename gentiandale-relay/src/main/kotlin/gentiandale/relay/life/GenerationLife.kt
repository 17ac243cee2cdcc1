package gentiandale.relay.life

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.RelayEvent
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.placement.GenerationPlan
import gentiandale.relay.placement.Waiting
import gentiandale.relay.routing.Repetition
import gentiandale.relay.upstream.GenerationSize
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Life of a request that is answered by a stream of events, made by a prefill and a decode server together. */
internal class GenerationLife(call: Call, context: RelayContext) :
    RequestLife(call, context),
    GenerationLine.Member,
    PrefillCall.Outcome,
    GenerationRun.Owner {
    private val size = context.dialect.size(call.headers) ?: DEFAULT_SIZE
    private val engine = call.rule?.engine
    private val need = GenerationMemory(size.prompt, context.answers.expect(route.name, size), size.answer)
    private val reading = HeldReading(size.prompt)
    private val room = HeldRoom(need, engine?.tokensPerEvent ?: 1, ::onRoomChanged)
    private val stream = CallerStream(call.reply, progress, context.nowMs)
    private var cache: KvCache? = null
    private var prefills = 0
    private var gapTimer: ScheduledFuture<*>? = null
    private var current: Send? = null
    private var rejections = 0
    private var conflicts = 0
    private var stateBeforeRun = runState

    override var waiting = Waiting(route.urgency, call.request.startMs, call.request.startMs + route.targetMs)
        private set

    override fun hasBegun(): Boolean = stream.hasBegun

    override fun release() {
        gapTimer?.cancel(false)
        context.line.leave(this)
        room.leave()
        reading.leave()
        cache?.release(context)
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
            !fits && conflicts < MAX_CONFLICTS -> {
                conflicts++
                context.log.write(
                    RelayEvent.ReservationConflict(call.id, plan.decode.load, plan.prefill?.load, conflicts),
                )
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
        if (runState == RunState.NOT_RUN && !stream.hasBegun) refuse(reason, RETRY_MS) else fail(reason)
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
        val allReadMs = context.generations.readMs(send.server, 0) * READ_TIMEOUT_FACTOR
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
        if (stream.hasBegun) waiting = Waiting.ofBrokenStream(context.nowMs(), route.targetMs)
        proceed()
    }

    /** Runs the request on [server], with the KV cache that is there, or by reading the prompt anew. */
    private fun run(server: Backend) {
        if (attempts > 0 && runState == RunState.MAY_HAVE_RUN && !mayRepeat()) return fail("no attempt is left")
        if (!takeBudget()) return giveUp("the retry budget is spent")
        val source = cache
        cache = null
        val send = send(
            server,
            if (source ==
                null
            ) {
                "run"
            } else {
                "decode"
            },
            Long.MAX_VALUE,
            GenerationRun(server, source, size.prompt, stream, context, this),
        )
        current = send
        val readMs = if (source == null) context.generations.readMs(server, size.prompt) else 0.0
        watch(send, (readMs * READ_TIMEOUT_FACTOR).toLong() + FIRST_EVENT_SLACK_MS, 0)
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

    override fun onCache(server: Backend, handle: String) {
        cache = KvCache(server, handle, call.id)
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

    override val hasEnded: Boolean get() = isOver

    override fun begin(run: GenerationRun): FullHttpRequest {
        attempts++
        onBudgetedSend()
        stateBeforeRun = runState
        runState = RunState.MAY_HAVE_RUN
        return outbound(run.server) { headers ->
            run.source?.let { context.dialect.offerCache(headers, it.server.row.address, it.handle) }
            progress.lastEvent?.let { context.dialect.resumeAfter(headers, it) }
        }
    }

    override fun onEvent() {
        room.onEvent()
        current?.let { watch(it, EVENT_GAP_MS, 0) }
    }

    override fun onStreamed(status: Int) {
        context.answers.observe(route.name, need.made)
        finish("answered", status)
    }

    override fun onRejected(run: GenerationRun, status: Int) {
        runState = stateBeforeRun
        attempts--
        rejections++
        current?.logFailure("not executed: $status")
        val server = run.server
        if (rejections > MAX_REJECTIONS) return giveUp("rejected by ${server.row.id} with $status")
        server.onFull(context.nowMs())
        // If the server was full, another one takes the KV cache; if that has lapsed, a round trip is lost.
        val other = run.source?.takeIf { rejections == 1 }?.let { roomiest(tried + server.row.id) } ?: return restart()
        cache = run.source
        runWithCache(other)
    }

    override fun onBadAnswer(run: GenerationRun, head: HttpResponse, body: ByteBuf) {
        val status = head.status()
        val isSuccess = status.codeClass() == HttpStatusClass.SUCCESS
        current?.failed("answer ${status.code()}")
        tried += run.server.row.id
        when {
            status.codeClass() != HttpStatusClass.CLIENT_ERROR && canRepeat() -> restart()
            stream.hasBegun || isSuccess || !isPassable(head) -> fail("answer ${status.code()} of ${run.server.row.id}")
            else -> {
                call.reply.answer(status.code(), head.headers().endToEnd(), body.retain())
                finish("answered", status.code())
            }
        }
    }

    override fun onRunFailed(run: GenerationRun, failure: SendFailure) {
        tried += run.server.row.id
        when {
            failure is SendFailure.NotSent && run.source != null -> {
                cache = run.source
                runWithCache(null)
            }
            failure is SendFailure.NotSent || canRepeat() -> restart()
            else -> fail(failure.reason)
        }
    }

    private fun canRepeat() = mayRepeat() && context.budgetOf(call.service).left(context.nowMs()) > 0

    private companion object {
        /** Assumed of a request that does not state its size. */
        val DEFAULT_SIZE = GenerationSize(prompt = 1_000, answer = 100, expected = 100)

        /** Places that a request leaves to others; then it takes its chance. */
        const val MAX_CONFLICTS = 4

        /** Prefill calls of one request before a decode server reads the prompt itself. */
        const val MAX_PREFILLS = 2

        /** Refusals of servers before the request is given back to its caller. */
        const val MAX_REJECTIONS = 4

        /** A prompt that takes this many times as long as expected is not waited for. */
        const val READ_TIMEOUT_FACTOR = 2.0

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

        /** Time in which an engine finishes a few requests. */
        const val RETRY_MS = 1_000L
    }
}
