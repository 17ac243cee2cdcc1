package gentiandale.relay.life

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.RelayEvent
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.placement.GenerationPlan
import gentiandale.relay.placement.QueuedGeneration
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
internal class GenerationRequestHandler(routed: RoutedRequest, context: RelayContext) :
    RequestHandler(routed, context),
    GenerationQueue.Entry,
    PrefillCall.Listener,
    GenerationCall.Listener {
    private val size = context.dialect.size(routed.headers) ?: DEFAULT_SIZE
    private val engine = routed.rule?.engine
    private val need = GenerationMemory(size.prompt, context.answerLengths.estimate(route.name, size), size.answer)
    private val promptReservation = PromptReservation(size.prompt)
    private val reservation = MemoryReservation(need, engine?.tokensPerEvent ?: 1, ::onReservationChanged)
    private val stream = CallerStream(routed.reply, progress, context.nowMs)
    private var cache: KvCache? = null
    private var prefillCount = 0
    private var gapTimer: ScheduledFuture<*>? = null
    private var currentSend: Send? = null
    private var rejections = 0
    private var conflicts = 0
    private var stateBeforeRun = runState

    override var queuedGeneration = QueuedGeneration(route.urgency, routed.request.startMs, routed.request.startMs + route.targetMs)
        private set

    override fun hasBegun(): Boolean = stream.hasBegun

    override fun releaseResources() {
        gapTimer?.cancel(false)
        context.queue.remove(this)
        reservation.release()
        promptReservation.release()
        cache?.release(context)
        cache = null
    }

    override fun dispatch() = context.queue.enqueue(this)

    override fun reject(reason: String) = refuseOrFail(reason)

    override fun tryStart(): Boolean {
        val now = context.nowMs()
        val excluded = if (prefillCount < MAX_PREFILL_CALLS) tried else tried + prefillServers()
        val engineRule = if (context.queue.isLate(queuedGeneration)) engine?.forLateWork() else engine
        when (val plan = context.generationPlacement.plan(context.candidates(routed.service), excluded, need, engineRule, now)) {
            is GenerationPlan.NoCapacity -> return false
            is GenerationPlan.NoServer -> refuseOrFail("no decode server")
            is GenerationPlan.Placement -> {
                reservation.reserve(plan.decode)
                promptReservation.reserve(plan.prefill ?: plan.decode)
                logReserved(plan, now)
                context.listener.confirmLoad { if (!isOver) onReservationConfirmed(plan) }
            }
        }
        return true
    }

    /** Goes on as planned, unless others have taken the same room a moment earlier. */
    private fun onReservationConfirmed(plan: GenerationPlan.Placement) {
        val fits = context.generationPlacement.fitsWithPeers(plan, promptReservation.tokens, engine, context.nowMs())
        promptReservation.release()
        when {
            !fits && conflicts < MAX_CONFLICTS -> {
                conflicts++
                context.log.write(
                    RelayEvent.ReservationConflict(routed.id, plan.decode.load, plan.prefill?.load, conflicts),
                )
                reservation.release()
                dispatch()
            }
            plan.prefill == null -> startGeneration(plan.decode)
            else -> startPrefill(plan.prefill)
        }
    }

    private fun logReserved(plan: GenerationPlan.Placement, now: Long) {
        val waitedMs = now - routed.request.startMs
        val prefill = plan.prefill?.row?.id
        val ahead = context.queue.size
        context.log.write(RelayEvent.Reserved(routed.id, plan.decode.load, prefill, size, need, waitedMs, ahead))
    }

    private fun prefillServers() =
        context.candidates(routed.service).filter { it.row.kind == ServerKind.PREFILL }.map { it.row.id }

    /** Tells the other VMs, and lets those that wait here look again. */
    private fun onReservationChanged() {
        context.listener.onLoadChanged()
        context.loop.execute(context.queue::admit)
    }

    private fun refuseOrFail(reason: String) {
        if (runState == RunState.NOT_RUN && !stream.hasBegun) refuse(reason, RETRY_AFTER_MS) else fail(reason)
    }

    private fun startPrefill(server: Backend) {
        if (prefillCount > 0 && !context.budgetOf(routed.service).tryTake(context.nowMs())) {
            prefillCount = MAX_PREFILL_CALLS
            return reservation.server?.let(::startGeneration) ?: refuseOrFail("no decode server")
        }
        prefillCount++
        val prefill = PrefillCall(server, size.prompt, context, { buildRequest(server, context.dialect::requestPrefill) }, this)
        val send = send(server, "prefill", Long.MAX_VALUE, prefill)
        currentSend = send
        watchPrefill(send, 0)
    }

    /** Looks elsewhere if a prefill server has not read the prompt when all prompts told of it could have been read. */
    private fun watchPrefill(send: Send, waitedMs: Long) {
        val expectedMs = context.generationPlacement.prefillMs(send.server, 0) * PREFILL_TIMEOUT_FACTOR
        val limitMs = (expectedMs.toLong() + PREFILL_CALL_MARGIN_MS).coerceAtMost(MAX_PREFILL_MS)
        if (limitMs > waitedMs) return send.scheduleIfUnanswered(limitMs - waitedMs) { watchPrefill(send, limitMs) }
        send.recordFailure("no KV cache in $waitedMs ms")
        send.cancel()
        tried += send.server.row.id
        restart()
    }

    /** Looks for servers anew. */
    private fun restart() {
        // The send before is over; what it still watches must not start the request once more.
        gapTimer?.cancel(false)
        currentSend = null
        reservation.release()
        if (stream.hasBegun) queuedGeneration = QueuedGeneration.ofBrokenStream(context.nowMs(), route.targetMs)
        dispatch()
    }

    /** Runs the request on [server], with the KV cache that is there, or by reading the prompt anew. */
    private fun startGeneration(server: Backend) {
        if (attempts > 0 && runState == RunState.MAY_HAVE_RUN && !mayRetry()) return fail("no attempt is left")
        if (!takeRetryBudget()) return refuseOrFail("the retry budget is spent")
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
            GenerationCall(server, source, size.prompt, stream, context, this),
        )
        currentSend = send
        val prefillMs = if (source == null) context.generationPlacement.prefillMs(server, size.prompt) else 0.0
        watchEvents(send, (prefillMs * PREFILL_TIMEOUT_FACTOR).toLong() + FIRST_EVENT_MARGIN_MS, 0)
    }

    /** Moves the request to another server if [send] shows no event for [delayMs] milliseconds. */
    private fun watchEvents(send: Send, delayMs: Long, waitedMs: Long) {
        gapTimer?.cancel(false)
        if (route.repetition != Repetition.RESUMABLE || attempts > route.maxAttempts) return
        gapTimer = context.loop.schedule({ onEventGap(send, delayMs, waitedMs + delayMs) }, delayMs, TimeUnit.MILLISECONDS)
    }

    /** A server that sends other events has put this request aside for a while, which is cheaper than a move. */
    private fun onEventGap(send: Send, delayMs: Long, waitedMs: Long) {
        if (isOver || currentSend !== send || attempts >= route.maxAttempts) return
        val quietMs = send.server.lastByteMs?.let { context.nowMs() - it } ?: Long.MAX_VALUE
        if (quietMs < delayMs && waitedMs < MAX_EVENT_GAP_MS) return watchEvents(send, delayMs, waitedMs)
        if (context.budgetOf(routed.service).remaining(context.nowMs()) <= 0) return
        send.recordFailure("no event for $waitedMs ms")
        send.cancel()
        tried += send.server.row.id
        restart()
    }

    override fun onCache(server: Backend, handle: String) {
        cache = KvCache(server, handle, routed.id)
        // VMs that reserve at the same moment don't see each other; by now they do.
        startWithCache(reservation.server?.takeIf { context.generationPlacement.stillFits(it, engine, context.nowMs()) })
    }

    override fun onNoCache(server: Backend, status: Int, isRejected: Boolean) {
        if (isRejected) server.onFull(context.nowMs()) else server.onFailure(context.nowMs())
        currentSend?.logFailure("prefill answered $status")
        context.budgetOf(routed.service).tryTake(context.nowMs())
        if (!isRejected) tried += server.row.id
        restart()
    }

    override fun onPrefillFailed(server: Backend) {
        tried += server.row.id
        restart()
    }

    /** Runs the request at [preferred], or where else there is room; the KV cache lives for a moment only. */
    private fun startWithCache(preferred: Backend?) {
        val server = preferred ?: chooseDecode(tried) ?: return refuseOrFail("no decode server")
        if (server !== reservation.server) reservation.reserve(server)
        startGeneration(server)
    }

    private fun chooseDecode(excluded: Set<ServerId>): Backend? =
        context.generationPlacement.chooseDecode(context.candidates(routed.service), excluded, need, engine, context.nowMs())

    override val hasEnded: Boolean get() = isOver

    override fun startAttempt(generation: GenerationCall): FullHttpRequest {
        attempts++
        countSend()
        stateBeforeRun = runState
        runState = RunState.MAY_HAVE_RUN
        return buildRequest(generation.server) { headers ->
            generation.source?.let { context.dialect.setCacheSource(headers, it.server.row.address, it.handle) }
            progress.lastEvent?.let { context.dialect.resumeAfter(headers, it) }
        }
    }

    override fun onEvent() {
        reservation.onEvent()
        currentSend?.let { watchEvents(it, EVENT_GAP_TIMEOUT_MS, 0) }
    }

    override fun onCompleted(status: Int) {
        context.answerLengths.observe(route.name, need.generatedTokens)
        finish("answered", status)
    }

    override fun onRejected(generation: GenerationCall, status: Int) {
        runState = stateBeforeRun
        attempts--
        rejections++
        currentSend?.logFailure("not executed: $status")
        val server = generation.server
        if (rejections > MAX_REJECTIONS) return refuseOrFail("rejected by ${server.row.id} with $status")
        server.onFull(context.nowMs())
        // If the server was full, another one takes the KV cache; if that has lapsed, a round trip is lost.
        val other = generation.source?.takeIf { rejections == 1 }?.let { chooseDecode(tried + server.row.id) } ?: return restart()
        cache = generation.source
        startWithCache(other)
    }

    override fun onBadAnswer(generation: GenerationCall, head: HttpResponse, body: ByteBuf) {
        val status = head.status()
        val isSuccess = status.codeClass() == HttpStatusClass.SUCCESS
        currentSend?.recordFailure("answer ${status.code()}")
        tried += generation.server.row.id
        when {
            status.codeClass() != HttpStatusClass.CLIENT_ERROR && canRetry() -> restart()
            stream.hasBegun || isSuccess || !canForward(head) -> fail("answer ${status.code()} of ${generation.server.row.id}")
            else -> {
                routed.reply.answer(status.code(), head.headers().endToEnd(), body.retain())
                finish("answered", status.code())
            }
        }
    }

    override fun onRunFailed(generation: GenerationCall, failure: SendFailure) {
        tried += generation.server.row.id
        when {
            failure is SendFailure.NotSent && generation.source != null -> {
                cache = generation.source
                startWithCache(null)
            }
            failure is SendFailure.NotSent || canRetry() -> restart()
            else -> fail(failure.reason)
        }
    }

    private fun canRetry() = mayRetry() && context.budgetOf(routed.service).remaining(context.nowMs()) > 0

    private companion object {
        /** Assumed of a request that does not state its size. */
        val DEFAULT_SIZE = GenerationSize(prompt = 1_000, answer = 100, expected = 100)

        /** Places that a request leaves to others; then it takes its chance. */
        const val MAX_CONFLICTS = 4

        /** Prefill calls of one request before a decode server reads the prompt itself. */
        const val MAX_PREFILL_CALLS = 2

        /** Refusals of servers before the request is given back to its caller. */
        const val MAX_REJECTIONS = 4

        /** A prompt that takes this many times as long as expected is not waited for. */
        const val PREFILL_TIMEOUT_FACTOR = 2.0

        /** Longest time that a prefill may take, in milliseconds; its caller waits for the first event. */
        const val MAX_PREFILL_MS = 700L

        /** Time for the call itself, in milliseconds: connection, way, and the rest of a step. */
        const val PREFILL_CALL_MARGIN_MS = 150L

        /** A caller waits for the first event for about four times its target; reading a prompt again costs more. */
        const val FIRST_EVENT_MARGIN_MS = 1_200L

        /** A pause that makes a stream late and is longer than a lost packet takes. */
        const val EVENT_GAP_TIMEOUT_MS = 1_000L

        /** A caller gives up after a little more than this. */
        const val MAX_EVENT_GAP_MS = 2_200L

        /** Time in which an engine finishes a few requests. */
        const val RETRY_AFTER_MS = 1_000L
    }
}
