package gentiandale.daemon.claim

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import gentiandale.core.Blackboard
import gentiandale.core.Board
import gentiandale.core.CallOutcome
import gentiandale.core.Clock
import gentiandale.core.IdempotencyKey
import gentiandale.core.Refusal
import gentiandale.core.RefusalReason
import gentiandale.core.VmState
import gentiandale.route.RetryBudget
import gentiandale.state.ClaimLimits
import gentiandale.state.ClaimResult
import org.slf4j.LoggerFactory

/** Answer to a plain call. */
internal sealed interface PlainAnswer {
    /** A backend server answered with [response], now or when the call first ran. */
    data class Answered(val response: AggregatedHttpResponse) : PlainAnswer

    /** The call is refused. */
    data class Refused(val refusal: Refusal) : PlainAnswer
}

/** Runs plain calls: those that may be repeated within the retry budget, the others at most once. */
internal class PlainCalls(
    private val board: Blackboard,
    private val chooser: ServiceChooser,
    private val sender: PlainSender,
    private val book: ClaimBook,
    private val budget: RetryBudget,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("gentiandale.route")

    /** Runs [call]. For [Repeat.AtMostOnce] it must not be cancelled. */
    suspend fun run(call: PlainCall, repeat: Repeat): PlainAnswer {
        budget.recordSubmission()
        return when (repeat) {
            Repeat.Idempotent -> answerOf(call, sendToSome(call, retryUnknown = true))
            Repeat.Once -> answerOf(call, sendToSome(call, retryUnknown = false))
            is Repeat.AtMostOnce -> runOnce(call, repeat.key)
        }
    }

    private suspend fun runOnce(call: PlainCall, key: IdempotencyKey): PlainAnswer =
        when (val claim = book.claim(key, call.digest())) {
            is ClaimOutcome.Mine -> runClaimed(call, key, claim.token)
            is ClaimOutcome.Earlier -> earlier(claim)
            ClaimOutcome.KeyReused -> refused(
                RefusalReason.KEY_REUSED,
                CallOutcome.NOT_RUN,
                "The key is of another call.",
            )
            is ClaimOutcome.NotPossible -> refused(
                RefusalReason.NO_MAJORITY,
                CallOutcome.NOT_RUN,
                "The call can't be claimed now: ${claim.why}",
                RETRY_AFTER_MS,
            )
        }

    private suspend fun runClaimed(call: PlainCall, key: IdempotencyKey, token: HolderToken): PlainAnswer {
        val sent = try {
            sendToSome(call, retryUnknown = false)
        } catch (e: Throwable) {
            book.settleLater(token, key, ClaimResult.Unknown)
            throw e
        }
        book.settle(token, key, resultOf(sent))
        return answerOf(call, sent)
    }

    private fun resultOf(sent: Sent): ClaimResult = when (sent) {
        is Sent.NotSent -> ClaimResult.NotRun
        is Sent.Unknown -> ClaimResult.Unknown
        is Sent.Answered -> {
            val body = sent.response.contentUtf8()
            val whole = body.toByteArray().contentEquals(sent.response.content().array())
            when {
                !whole || sent.response.content().length() > ClaimLimits.MAX_ANSWER_BYTES -> ClaimResult.Unknown
                else -> ClaimResult.Answered(
                    sent.response.status().code(),
                    sent.response.contentType()?.toString() ?: MediaType.OCTET_STREAM.toString(),
                    body,
                )
            }
        }
    }

    /** Sends [call] to servers in turn until one answers, the outcome is unknown, or nothing is left to try. */
    private suspend fun sendToSome(call: PlainCall, retryUnknown: Boolean): Sent {
        var last: Sent = Sent.NotSent("No server of ${call.service} is known.")
        var mayHaveRun = false
        chooser.serversOf(call.service).take(MAX_ATTEMPTS).forEachIndexed { i, server ->
            val leftMs = call.deadlineMs - clock.monotonicMs()
            if (leftMs <= 0 || (i > 0 && !budget.take())) return@forEachIndexed
            log.info(
                "Passed {} {} of {} to {}. Why: least loaded.",
                call.method,
                call.path,
                call.service,
                server.server,
            )
            last = chooser.counting(server.server) { sender.send(call, server.address, leftMs) }
            when (last) {
                is Sent.Answered -> return last
                is Sent.Unknown -> if (retryUnknown) mayHaveRun = true else return last
                is Sent.NotSent -> Unit
            }
        }
        val end = last
        return if (mayHaveRun && end is Sent.NotSent) Sent.Unknown(end.why) else end
    }

    private fun answerOf(call: PlainCall, sent: Sent): PlainAnswer = when (sent) {
        is Sent.Answered -> PlainAnswer.Answered(sent.response)
        is Sent.Unknown -> refused(RefusalReason.BACKEND_FAILED, CallOutcome.UNKNOWN, "The call failed: ${sent.why}")
        is Sent.NotSent -> notSent(call, sent)
    }

    private fun notSent(call: PlainCall, sent: Sent.NotSent): PlainAnswer {
        val reason = when {
            call.deadlineMs <= clock.monotonicMs() -> RefusalReason.DEADLINE
            chooser.serversOf(call.service).isEmpty() -> RefusalReason.UNKNOWN_SERVICE
            else -> RefusalReason.NO_SERVER
        }
        return refused(reason, CallOutcome.NOT_RUN, sent.why, RETRY_AFTER_MS)
    }

    private fun earlier(claim: ClaimOutcome.Earlier): PlainAnswer = when (val result = claim.result) {
        is ClaimResult.Answered -> PlainAnswer.Answered(
            AggregatedHttpResponse.of(
                ResponseHeaders.builder(HttpStatus.valueOf(result.status))
                    .contentType(MediaType.parse(result.contentType))
                    .build(),
                HttpData.ofUtf8(result.body),
            ),
        )
        ClaimResult.Unknown, ClaimResult.NotRun ->
            refused(RefusalReason.BACKEND_FAILED, CallOutcome.UNKNOWN, "The call may have run; no answer is kept.")
        null -> unsettled(claim.holder)
    }

    private fun unsettled(holder: HolderToken?): PlainAnswer {
        val gone = holder != null && board[Board.VMS][holder.vm]?.state == VmState.DEAD
        if (gone) {
            val detail = "The call may have run: the VM that held it is gone."
            return refused(RefusalReason.BACKEND_FAILED, CallOutcome.UNKNOWN, detail)
        }
        val detail = "A call with this key is running, or the VM that held it is gone."
        return refused(RefusalReason.IN_PROGRESS, CallOutcome.UNKNOWN, detail, RETRY_AFTER_MS)
    }

    private fun refused(reason: RefusalReason, outcome: CallOutcome, detail: String, retryAfterMs: Long? = null) =
        PlainAnswer.Refused(Refusal(reason, outcome, detail, retryAfterMs))

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val RETRY_AFTER_MS = 1_000L
    }
}
