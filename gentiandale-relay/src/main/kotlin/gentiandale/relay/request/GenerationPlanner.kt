package gentiandale.relay.request

import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory
import gentiandale.relay.placement.CapacityStep
import gentiandale.relay.placement.GenerationPlan
import gentiandale.relay.placement.QueuedGeneration

/**
 * Plans where one generation with [need] runs.
 *
 * @param allows whether the generation may run at a server.
 */
internal class GenerationPlanner(
    private val context: RelayContext,
    private val need: GenerationMemory,
    private val allows: (Backend) -> Boolean,
) {
    /**
     * Returns a plan for [routed], which is [queued], without the servers in [tried]. After [prefills] calls to prefill
     * servers, no further one may be made. With a [grant], the decode server that it names is preferred, and late work
     * is not limited, since the queue has chosen it.
     */
    fun plan(
        routed: RoutedRequest,
        queued: QueuedGeneration,
        tried: Set<ServerId>,
        prefills: Int,
        grant: CapacityStep.Send? = null,
    ): GenerationPlan {
        val now = context.nowMs()
        val servers = context.candidates(routed.service)
        val prefillServers = servers.filter { it.row.kind == ServerKind.PREFILL }.map { it.row.id }
        val excluded = if (prefills < GenerationLimits.MAX_PREFILL_CALLS) tried else tried + prefillServers
        val isLimited = grant == null && context.queue.isLate(queued)
        val engine = routed.rule?.engine?.let { if (isLimited) it.forLateWork() else it }
        val gapMs = routed.route.maxGapMs.takeIf { it > 0 } ?: GenerationLimits.DEFAULT_GAP_MS
        val allowed = servers.filter(allows)
        val granted = grant?.server?.let { id ->
            allowed.filter { it.row.kind == ServerKind.PREFILL || it.row.id == id }
        }
        val plan = granted?.let { context.generationPlacement.plan(it, excluded, need, engine, now, gapMs) }
            as? GenerationPlan.Placement
            ?: context.generationPlacement.plan(allowed, excluded, need, engine, now, gapMs)
        val isPermitMissing = plan is GenerationPlan.NoServer &&
            context.lacksPermits(routed.service) { it.row.id !in excluded && allows(it) }
        return if (isPermitMissing) GenerationPlan.NoCapacity else plan
    }

    /** Returns what [routed], with a prompt of [promptTokens], needs of the capacity that all VMs share. */
    fun capacityNeed(routed: RoutedRequest, promptTokens: Int): CapacityNeed {
        val patienceMs = GenerationLimits.patienceMs(routed.route.targetMs, routed.route.maxGapMs)
        val readMs = context.candidates(routed.service).filter { it.row.kind == ServerKind.PREFILL }
            .minOfOrNull { context.generationPlacement.prefillMs(it, promptTokens).toLong() } ?: 0
        return CapacityNeed(
            endMs = minOf(routed.deadlineMs, routed.request.startMs + patienceMs),
            durationMs = maxOf(readMs, GenerationLimits.MIN_FIRST_EVENT_MS),
            minimumMs = GenerationLimits.MIN_FIRST_EVENT_MS,
            tokens = need.tokens + need.expected,
        )
    }

    /** Returns a decode server for a prompt of [routed] that has been read, or null if there is none. */
    fun chooseDecode(
        routed: RoutedRequest,
        excluded: Set<ServerId>,
    ): Backend? = context.generationPlacement.chooseDecode(
        context.candidates(routed.service).filter(allows),
        excluded,
        need,
        routed.rule?.engine,
        context.nowMs(),
    )
}
