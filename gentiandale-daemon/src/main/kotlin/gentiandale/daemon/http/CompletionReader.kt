package gentiandale.daemon.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.CallOutcome
import gentiandale.core.CallerId
import gentiandale.core.Clock
import gentiandale.core.Finding
import gentiandale.core.ModelId
import gentiandale.core.RankId
import gentiandale.core.RecordId
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.RequestId
import gentiandale.core.ServerFacts
import gentiandale.core.engine.PromptBlocks
import gentiandale.core.findings
import gentiandale.daemon.request.Completion
import gentiandale.daemon.request.RankOrders
import gentiandale.daemon.settings.LimitSettings
import gentiandale.route.RouteRequest
import kotlinx.serialization.SerializationException
import java.util.UUID

/** Result of reading a completion call. */
internal sealed interface CompletionReadResult {
    /** The call is valid and asks for [completion], with its answer [streamed] or sent as one document. */
    data class Valid(val completion: Completion, val streamed: Boolean) : CompletionReadResult

    /** The call is refused before any work has run. */
    data class Refused(val refusal: Refusal, val findings: List<Finding> = emptyList()) : CompletionReadResult
}

/** Parses and validates completion calls of one [format]. */
internal class CompletionReader(
    private val format: CompletionFormat,
    private val limits: LimitSettings,
    private val board: Blackboard,
    private val ranks: RankOrders,
    private val clock: Clock,
) {
    /** Parses and validates [req]; reports all findings together. */
    fun read(req: AggregatedHttpRequest): CompletionReadResult {
        val call = try {
            HttpJson.decodeFromString(CompletionCall.serializer(), req.contentUtf8())
        } catch (e: SerializationException) {
            return CompletionReadResult.Refused(
                badRequest("Invalid completion call: ${e.message?.lineSequence()?.first()}"),
            )
        }
        val prompt = format.promptOf(call)
        val findings = check(req, call, prompt)
        if (prompt == null || findings.isNotEmpty()) {
            return CompletionReadResult.Refused(badRequest("The completion call is invalid."), findings)
        }
        val route = routeRequest(req, call, prompt)
        val refusal = refuseUnknown(route) ?: refuseExpired(route)
        if (refusal != null) return CompletionReadResult.Refused(refusal)
        return CompletionReadResult.Valid(Completion(route, prompt, ranks.of(route.rank) ?: 0), call.stream)
    }

    private fun check(req: AggregatedHttpRequest, call: CompletionCall, prompt: String?) = findings("call") {
        val deadline = req.headers().get(CallHeaders.DEADLINE_MS)
        val id = req.headers().get(CallHeaders.REQUEST_ID)
        check(call.model.isNotBlank(), "model") { "A model is required." }
        check(!prompt.isNullOrEmpty(), if (format == CompletionFormat.TEXT) "prompt" else "messages") {
            "A prompt is required."
        }
        check(call.maxTokens in 1..MAX_TOKENS, "max_tokens") { "${call.maxTokens} is not between 1 and $MAX_TOKENS." }
        check(deadline == null || deadline.toLongOrNull() != null, CallHeaders.DEADLINE_MS) {
            "'$deadline' is not a number of milliseconds."
        }
        check(id == null || id.length in 1..MAX_ID_CHARS, CallHeaders.REQUEST_ID) {
            "The request id must have 1 to $MAX_ID_CHARS characters."
        }
    }

    private fun routeRequest(req: AggregatedHttpRequest, call: CompletionCall, prompt: String): RouteRequest {
        val now = clock.monotonicMs()
        val timeoutMs = req.headers().get(CallHeaders.DEADLINE_MS)?.toLong() ?: limits.defaultDeadlineMs
        return RouteRequest(
            request = RequestId(req.headers().get(CallHeaders.REQUEST_ID) ?: "req-${UUID.randomUUID()}"),
            caller = CallerId(req.headers().get(CallHeaders.CALLER) ?: call.user ?: "anonymous"),
            rank = RankId(req.headers().get(CallHeaders.RANK) ?: DEFAULT_RANK),
            model = ModelId(call.model),
            promptTokens = PromptBlocks.tokens(prompt),
            maxTokens = call.maxTokens,
            prefix = PromptBlocks.hashes(prompt, blockTokensOf(ModelId(call.model))),
            arrivedMs = now,
            deadlineMs = now + timeoutMs.coerceAtMost(MAX_DEADLINE_MS),
        )
    }

    private fun blockTokensOf(model: ModelId): Int =
        board[Board.SERVERS].values.firstOrNull { it.facts.model == model && it.facts.blockTokens > 0 }
            ?.facts?.blockTokens ?: ServerFacts.DEFAULT_BLOCK_TOKENS

    private fun refuseExpired(route: RouteRequest): Refusal? {
        if (route.deadlineMs > route.arrivedMs) return null
        return Refusal(RefusalReason.DEADLINE, CallOutcome.NOT_RUN, "The deadline had passed when the call arrived.")
    }

    private fun refuseUnknown(route: RouteRequest): Refusal? {
        val records = board[Board.CONFIGURATION].configuration.records
        val servers = board[Board.SERVERS].values
        val modelKnown = servers.isEmpty() ||
            servers.any { it.facts.model == route.model } ||
            records.any { it.id == RecordId("model", route.model.value) }
        val rankKnown = !ranks.hasRanks || ranks.of(route.rank) != null
        return when {
            !modelKnown -> notRun(RefusalReason.UNKNOWN_MODEL, "The model ${route.model} is unknown.")
            !rankKnown -> notRun(RefusalReason.UNKNOWN_RANK, "The rank ${route.rank} is not configured.")
            else -> null
        }
    }

    private fun notRun(reason: RefusalReason, detail: String) = Refusal(reason, CallOutcome.NOT_RUN, detail)

    private companion object {
        const val DEFAULT_RANK = "routine"
        const val MAX_TOKENS = 100_000
        const val MAX_ID_CHARS = 200
        const val MAX_DEADLINE_MS = 86_400_000L
    }
}
