package gentiandale.relay.request

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.forward.ForwardPath
import gentiandale.relay.placement.CapacityStep
import gentiandale.relay.placement.GenerationPlan
import gentiandale.relay.placement.QueuedGeneration
import gentiandale.relay.placement.TakeUp
import gentiandale.relay.routing.RoutingTable
import gentiandale.relay.upstream.SendFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass

/** Handles a request that is answered by an event stream, produced by a prefill and a decode server together. */
internal class GenerationRequestHandler(routed: RoutedRequest, context: RelayContext) :
    StreamRequestHandler(routed, context),
    GenerationQueue.Entry,
    CapacityWait.Owner,
    PrefillCall.Listener,
    GenerationCall.Listener {
    private val size = context.dialect.size(routed.headers) ?: GenerationLimits.DEFAULT_SIZE
    private val engine get() = routed.rule?.engine
    private val need = GenerationMemory(size.prompt, context.answerLengths.estimate(route.name, size), size.answer)
    private val events = GenerationLog(context, size, need, crashSuspect)
    private val promptReservation = PromptReservation(size.prompt)
    override var reservation = newReservation()
    private val stream = CallerStream(routed.reply, progress, context.nowMs)
    private var cache: KvCache? = null
    private var prefillCount = 0
    private var placements = 0
    private val continuity = StreamContinuity(routed, context, progress.lastEvent)
    private val planner = GenerationPlanner(context, need, ::allows)
    private val capacityWait = CapacityWait(context, guard, { this.routed }, this)
    private var rejections = 0
    private var conflicts = 0
    private var stateBeforeRun = runState

    override var queued = QueuedGeneration(
        urgency = routed.urgency,
        startMs = routed.request.startMs,
        dueMs = routed.request.startMs + route.targetMs,
        routeUrgency = route.urgency,
    )
        private set

    override fun newReservation() = MemoryReservation(need, engine?.tokensPerEvent ?: 1, ::onReservationChanged)

    override fun hasBegun(): Boolean = stream.hasBegun

    override val streamToContinue: String? get() = if (progress.lastEvent == null) null else continuity.firstRequest

    override fun releaseResources() {
        releasePlacement()
        releaseSilentStream()
    }

    override fun releasePlacement() {
        placements++
        capacityWait.cancel("ended")
        stopWatching()
        context.queue.remove(this)
        reservation.release()
        promptReservation.release()
        cache?.release(context)
        cache = null
    }

    /** Queues and places the request while the issuer of its quota is asked. */
    override fun begin() = dispatch()

    override val hasRun: Boolean get() = super.hasRun || prefillCount > 0

    override fun dispatch() {
        if (!continuity.isOriginDue || path() !is ForwardPath.Direct) return admit()
        continuity.findOrigin { decision -> guard.execute { if (!isOver) onOrigin(decision) } }
    }

    /** Continues a stream that the caller takes up, or refuses it. */
    private fun onOrigin(decision: TakeUp) = when (decision) {
        is TakeUp.GoOn -> {
            routed = routed.copy(service = decision.origin.service)
            dispatch()
        }
        is TakeUp.Refuse -> refuse(decision.reason, decision.retryAfterMs)
    }

    /** Asks for capacity if that is scarce, and waits in the queue of this VM otherwise. */
    private fun admit() {
        if (!awaitsGrantIfContended()) context.queue.enqueue(this)
    }

    private fun awaitsGrantIfContended() =
        context.capacity.isContended(routed.service) && awaitsGrant(hasCapacity = true)

    /** Asks for capacity, and returns false if the request is placed by what this VM knows. */
    private fun awaitsGrant(hasCapacity: Boolean): Boolean {
        // The caller of a stream that has begun notices each gap, and a KV cache expires within a moment.
        val isUrgent = stream.hasBegun || cache != null
        val hasQueue = context.capacity.hasGenerationQueue(routed.service, routed.table.customers != null)
        if (isUrgent || !hasQueue || path() !is ForwardPath.Direct) return false
        val step = capacityWait.next(hasCapacity) ?: return true
        if (step is CapacityStep.Refuse) onCapacity(step)
        return step is CapacityStep.Refuse
    }

    override fun capacityNeed() = planner.capacityNeed(routed, size.prompt)

    override fun canUse(server: ServerId?): Boolean {
        val isPlanned = path() is ForwardPath.Direct && !continuity.isOriginDue
        return !isPlanned || plan(CapacityStep.Send(server)) !is GenerationPlan.NoCapacity
    }

    override fun onCapacity(step: CapacityStep) {
        when (step) {
            is CapacityStep.Refuse -> refuse(step.reason, step.retryAfterMs, step.isExact)
            is CapacityStep.Send -> if (!place(step)) context.queue.enqueue(this)
            else -> context.queue.enqueue(this)
        }
    }

    override fun onMoved(table: RoutingTable) {
        // The engines of the previous service still take it, as they do with generations that don't wait.
        capacityWait.fallBack()
        context.queue.enqueue(this)
    }

    private fun allows(server: Backend) = continuity.allows(server) && isWithinAttempts(server)

    private fun isWithinAttempts(server: Backend) =
        server.row.kind == ServerKind.PREFILL || attempts < route.maxAttempts || server.row.id in unheard

    override fun reject(reason: String) = refuseOrFail(reason)

    override fun tryStart(): Boolean = guard.execute(true) { awaitsGrantIfContended() || place() }

    /**
     * Reserves capacity, that of [grant] if there is one, and goes on, or ends the request; returns false if there is
     * no capacity.
     */
    private fun place(grant: CapacityStep.Send? = null): Boolean {
        if (endIfQuarantined()) return true
        return when (val path = path()) {
            is ForwardPath.Direct -> if (continuity.isOriginDue) true.also { dispatch() } else placeAtServer(grant)
            is ForwardPath.ByPeer -> true.also { startAtPeer(path.peers) }
            is ForwardPath.AwaitPeers -> true.also { awaitPeers() }
            is ForwardPath.Nowhere -> true.also { refuseOrFail(path.reason) }
        }
    }

    private fun startAtPeer(peers: List<Backend>) {
        val peer = context.plainPlacement.choose(peers, tried, context.nowMs())
        if (peer == null) return refuseOrFail("no other VM that reaches a server")
        quota.whenAdmitted { startGeneration(peer) }
    }

    private fun plan(grant: CapacityStep.Send?) = planner.plan(routed, queued, tried, prefillCount, grant)

    private fun placeAtServer(grant: CapacityStep.Send?): Boolean {
        when (val plan = plan(grant)) {
            is GenerationPlan.NoCapacity -> return awaitsGrant(hasCapacity = false)
            is GenerationPlan.NoServer -> onNoServer()
            is GenerationPlan.Placement -> {
                permits.take(plan.decode)
                plan.prefill?.let(permits::take)
                reservation.reserve(plan.decode)
                promptReservation.reserve(plan.prefill ?: plan.decode)
                events.onReserved(routed, plan)
                val placement = ++placements
                context.listener.confirmLoad {
                    guard.execute { if (!isOver && placement == placements) onReservationConfirmed(plan) }
                }
            }
        }
        return true
    }

    /** Continues with [plan], unless other VMs reserved the same capacity a moment earlier. */
    private fun onReservationConfirmed(plan: GenerationPlan.Placement) {
        val fits = context.generationPlacement.fitsWithPeers(plan, promptReservation.tokens, engine, context.nowMs())
        promptReservation.release()
        when {
            !fits && conflicts < GenerationLimits.MAX_CONFLICTS -> {
                conflicts++
                events.onConflict(routed, plan, conflicts)
                reservation.release()
                permits.release()
                dispatch()
            }
            plan.prefill == null -> quota.whenAdmitted { startGeneration(plan.decode) }
            else -> quota.whenAdmitted { startPrefill(plan.prefill) }
        }
    }

    override fun endIfQuarantined(): Boolean = guard.execute(true, ::endIfCrashSuspect)

    /** Reports the change to the other VMs and rechecks the queue of this VM. */
    private fun onReservationChanged() {
        context.listener.onLoadChanged()
        context.loop.execute(context.queue::admit)
    }

    private fun onNoServer() = if (checksReach()) Unit else refuseOrFail(continuity.noServer)

    private fun refuseOrFail(reason: String) {
        val retryMs = context.restLeftMs(routed.service) ?: GenerationLimits.RETRY_AFTER_MS
        if (runState == RunState.NOT_RUN && !stream.hasBegun) refuse(reason, retryMs) else fail(reason)
    }

    private fun startPrefill(server: Backend) {
        if (!retries.takeWithCall()) {
            prefillCount = GenerationLimits.MAX_PREFILL_CALLS
            return reservation.server?.let(::startGeneration) ?: refuseOrFail(continuity.noServer)
        }
        prefillCount++
        val prefill = PrefillCall(
            server,
            size.prompt,
            context,
            { buildRequest(server, context.dialect::requestPrefill).also { retries.onCall() } },
            this,
        )
        val send = send(server, "prefill", Long.MAX_VALUE, prefill)
        currentSend = send
        watchPrefill(send, 0)
    }

    /** Tries another server if [send] takes longer than the known backlog of its prefill server explains. */
    private fun watchPrefill(send: Send, waitedMs: Long) {
        val limitMs = GenerationLimits.prefillLimitMs(context.generationPlacement.prefillMs(send.server, 0))
        if (limitMs > waitedMs) return send.ifUnanswered(limitMs - waitedMs) { watchPrefill(send, limitMs) }
        send.recordFailure("prefill returned no KV cache within $waitedMs ms")
        send.cancel()
        tried += send.server.row.id
        restart()
    }

    /** Releases the reservation and places the request again. */
    override fun restart() {
        // A timer of the previous send must not start the request a second time.
        stopWatching()
        currentSend = null
        reservation.release()
        permits.release()
        if (stream.hasBegun) queued = QueuedGeneration.ofBrokenStream(context.nowMs(), route.targetMs)
        dispatch()
    }

    /** Starts the generation on [server], from the KV cache if there is one, otherwise by reading the prompt there. */
    private fun startGeneration(server: Backend) {
        val mayRepeat = mayRetry() || server.row.id in unheard
        if (attempts > 0 && runState == RunState.MAY_HAVE_RUN && !mayRepeat) return fail("no retry allowed")
        if (endIfQuarantined()) return
        if (!retries.take()) return refuseOrFail("retry budget of ${routed.service.value} exhausted")
        val source = cache
        cache = null
        val call = GenerationCall(server, source, size.prompt, stream, context, this)
        val send = send(server, call.operation, Long.MAX_VALUE, call)
        currentSend = send
        watchEvents(send, GenerationLimits.firstEventLimitMs(call.prefillMs), 0)
    }

    override fun onCache(server: Backend, handle: String) {
        cache = KvCache(server, handle, routed.id)
        // VMs that reserve at the same moment don't see each other's load at once; after the prefill they do.
        startWithCache(
            reservation.server?.takeIf { context.generationPlacement.stillFits(it, engine, context.nowMs()) },
        )
    }

    override fun onNoCache(server: Backend, status: Int, isRejected: Boolean) {
        if (isRejected) server.onFull(context.nowMs()) else server.onFailure(context.nowMs())
        currentSend?.logFailure("prefill answered status $status without a KV cache")
        context.budgetOf(routed.service).tryTake(context.nowMs())
        if (!isRejected) tried += server.row.id
        restart()
    }

    override fun onPrefillFailed(server: Backend, failure: SendFailure) {
        if (failure is SendFailure.Broken) crashSuspect.onBroken(server)
        onSendFailed(server, failure)
        restart()
    }

    /** Starts at [preferred] or another server with capacity at once, since the KV cache expires within a moment. */
    private fun startWithCache(preferred: Backend?) {
        if (path() !is ForwardPath.Direct) {
            cache?.release(context)
            cache = null
            return restart()
        }
        val server = preferred ?: chooseDecode(tried) ?: return onNoServer()
        if (server !== reservation.server) {
            reservation.reserve(server)
            permits.take(server)
        }
        startGeneration(server)
    }

    private fun chooseDecode(excluded: Set<ServerId>): Backend? = planner.chooseDecode(routed, excluded)

    override val hasEnded: Boolean get() = isOver

    override fun startAttempt(generation: GenerationCall): FullHttpRequest {
        attempts++
        if (silent != null) watchOverlap(generation)
        retries.onSend()
        stateBeforeRun = runState
        runState = RunState.MAY_HAVE_RUN
        return buildRequest(generation.server) { headers ->
            generation.source?.let { context.dialect.setCacheSource(headers, it.server.row.address, it.handle) }
            progress.lastEvent?.let { context.dialect.resumeAfter(headers, it) }
        }
    }

    override fun onEvent(generation: GenerationCall) {
        if (isAtSilentServer(generation)) returnToServer("the server goes on") else leaveSilentServer()
        val server = generation.server
        if (server.isPeer) continuity.onForwardedEvent() else continuity.onEvent(server, routed.service)
        reservation.onEvent()
        currentSend?.let { watchEvents(it, GenerationLimits.EVENT_GAP_TIMEOUT_MS, 0) }
    }

    override fun onEstablished(generation: GenerationCall) = crashSuspect.onAnswered(generation.server)

    override fun onCompleted(status: Int) {
        context.answerLengths.observe(route.name, need.generatedTokens)
        finish("answered", status)
    }

    override fun onRejected(generation: GenerationCall, head: HttpResponse) {
        val status = head.status().code()
        attempts--
        if (isAtSilentServer(generation)) {
            silent?.send?.logFailure("request not executed: status $status")
            generation.server.onFull(context.nowMs())
            endSilentStream(generation)
            if (attempts == 0) runState = RunState.NOT_RUN
            return
        }
        runState = stateBeforeRun
        currentSend?.logFailure("request not executed: status $status")
        val server = generation.server
        if (onRefused(server, head.headers())?.isUnreached == true) {
            tried += server.row.id
            return restart()
        }
        rejections++
        val isRejectedOften = rejections > GenerationLimits.MAX_REJECTIONS
        if (isRejectedOften) return refuseOrFail("rejected by ${server.row.id} with $status")
        server.onFull(context.nowMs())
        // If the server was full, another one can use the KV cache; if the cache has expired, this costs a round trip.
        val other = generation.source?.takeIf { rejections == 1 }?.let { chooseDecode(tried + server.row.id) }
            ?: return restart()
        cache = generation.source
        startWithCache(other)
    }

    override fun onBadAnswer(generation: GenerationCall, head: HttpResponse, body: ByteBuf) {
        val status = head.status()
        val isSuccess = status.codeClass() == HttpStatusClass.SUCCESS
        val isFinal = status.codeClass() == HttpStatusClass.CLIENT_ERROR && !stream.hasBegun && canForward(head)
        val send = silent?.send?.takeIf { isAtSilentServer(generation) } ?: currentSend
        send?.recordFailure("unusable answer: status ${status.code()}")
        tried += generation.server.row.id
        when {
            endSilentStream(generation) && !isFinal -> Unit
            status.codeClass() != HttpStatusClass.CLIENT_ERROR && canRetry() -> restart()
            returnToServer("unusable answer of ${generation.server.row.id}: status ${status.code()}") -> Unit
            stream.hasBegun || isSuccess || !canForward(head) ->
                fail("unusable answer of ${generation.server.row.id}: status ${status.code()}")
            else -> {
                routed.reply.answer(status.code(), head.headers().endToEnd(), body.retain())
                finish("answered", status.code())
            }
        }
    }

    override fun onCallFailed(generation: GenerationCall, failure: SendFailure) {
        onSendFailed(generation.server, failure)
        if (failure is SendFailure.Broken && !generation.isEstablished) crashSuspect.onBroken(generation.server)
        if (endSilentStream(generation)) return
        when {
            failure is SendFailure.NotSent && generation.source != null -> {
                cache = generation.source
                startWithCache(null)
            }
            failure is SendFailure.NotSent || canRetry() -> restart()
            else -> fail(failure.reason)
        }
    }

    private fun canRetry() = mayGoOn() && retries.isAvailable
}
