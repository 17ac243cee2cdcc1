package gentiandale.daemon.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.CallOutcome
import gentiandale.core.Clock
import gentiandale.core.Finding
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.state.ReplicatedStore
import gentiandale.state.StoreCommand
import gentiandale.state.StoreReply
import gentiandale.state.SubmitOutcome
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/** Accepts submissions at `POST /v1/records` and returns the active configuration at `GET /v1/records`. */
internal class RecordsService(
    private val store: ReplicatedStore,
    private val board: Blackboard,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : HttpService {
    private val log = LoggerFactory.getLogger("gentiandale.state")

    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse = when (req.method()) {
        HttpMethod.GET -> show(ctx)
        HttpMethod.POST -> HttpResponse.of(scope.future { receive(ctx, req.aggregate().await()) })
        else -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
    }

    private fun show(ctx: ServiceRequestContext): HttpResponse {
        val kind = ctx.queryParam("kind")
        val name = ctx.queryParam("name")
        val active = board[Board.CONFIGURATION]
        val records = active.configuration.records
            .filter { (kind == null || it.id.kind == kind) && (name == null || it.id.name == name) }
            .map { it.toMessage() }
        val confirmedMsAgo = active.confirmedMs.takeIf { it != 0L }?.let { clock.monotonicMs() - it }
        return json(
            RecordsMessage.serializer(),
            RecordsMessage(active.configuration.revision, confirmedMsAgo, null, records),
        )
    }

    private suspend fun receive(ctx: ServiceRequestContext, req: AggregatedHttpRequest): HttpResponse {
        val submission = try {
            HttpJson.decodeFromString(SubmissionMessage.serializer(), req.contentUtf8())
        } catch (e: SerializationException) {
            return badRequest("Invalid submission: ${e.message?.lineSequence()?.first()}").toProblem().toResponse()
        }
        val configuration = board[Board.CONFIGURATION].configuration
        val findings = submission.check()
        val dryRun = ctx.queryParam("dry_run")?.toBoolean() ?: false
        val conflicts = if (dryRun || findings.isNotEmpty()) submission.conflicts(configuration) else emptyList()
        return when {
            findings.isNotEmpty() || conflicts.isNotEmpty() -> refused(submission, findings + conflicts)
            dryRun -> dryRunResponse(submission, configuration.revision)
            else -> submit(submission)
        }
    }

    private suspend fun submit(submission: SubmissionMessage): HttpResponse {
        val drafts = submission.records.map { it.toDraft() }
        val command = StoreCommand.ApplyRecords(submission.key, drafts, clock.wallMs())
        return when (val outcome = store.submit(command, SUBMIT_TIMEOUT_MS)) {
            is SubmitOutcome.Done -> answer(submission, outcome.reply)
            is SubmitOutcome.NotAccepted ->
                noMajority(CallOutcome.NOT_RUN, "The submission was not accepted: ${outcome.reason}")
            is SubmitOutcome.NotKnown ->
                noMajority(CallOutcome.UNKNOWN, "Outcome unknown: ${outcome.reason} Retry with the same operation key.")
        }
    }

    private fun answer(submission: SubmissionMessage, reply: StoreReply): HttpResponse = when (reply) {
        is StoreReply.Accepted -> {
            log.info("Submission {} accepted as configuration revision {}.", submission.key, reply.revision)
            val records = reply.records.map { it.toMessage() }
            json(RecordsMessage.serializer(), RecordsMessage(reply.revision, records = records))
        }
        is StoreReply.Refused -> refused(submission, reply.findings)
        else -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR)
    }

    private fun dryRunResponse(submission: SubmissionMessage, revision: Long): HttpResponse {
        val records = submission.records.filterNot { it.delete }
            .map { RecordMessage(it.kind, it.name, it.schema, it.expectedVersion + 1, it.body) }
        return json(RecordsMessage.serializer(), RecordsMessage(revision, dryRun = true, records = records))
    }

    private fun refused(submission: SubmissionMessage, findings: List<Finding>): HttpResponse {
        log.info("Submission {} refused: {}", submission.key, findings.joinToString("; "))
        return badRequest("The submission has ${findings.size} findings.")
            .toProblem(findings = findings)
            .copy(status = HttpStatus.UNPROCESSABLE_ENTITY.code())
            .toResponse()
    }

    private companion object {
        const val SUBMIT_TIMEOUT_MS = 5_000L
    }
}

private const val RETRY_AFTER_MS = 1_000L

/** Returns the refusal of a change without a majority: 503 if it did not happen, 504 if its [outcome] is unknown. */
internal fun noMajority(outcome: CallOutcome, detail: String): HttpResponse {
    val problem = Refusal(RefusalReason.NO_MAJORITY, outcome, detail, RETRY_AFTER_MS).toProblem()
    val status = if (outcome == CallOutcome.UNKNOWN) HttpStatus.GATEWAY_TIMEOUT.code() else problem.status
    return problem.copy(status = status).toResponse()
}

internal fun <T> json(serializer: KSerializer<T>, value: T): HttpResponse =
    HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpJson.encodeToString(serializer, value))
