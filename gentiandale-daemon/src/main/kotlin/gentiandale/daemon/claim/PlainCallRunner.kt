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
    /** A backend server answered with [response], now or to an earlier call with the same key. */
    data class Answered(val response: AggregatedHttpResponse) : PlainAnswer

    /** The call was refused or has failed. */
    data class Refused(val refusal: Refusal) : PlainAnswer
}

/** Sends plain calls to servers of their service, with retries as far as [Repeat] and the retry budget allow. */
internal class PlainCallRunner(
    private val board: Blackboard,
    private val chooser: ServiceChooser,
    private val sender: PlainSender,
    private val claims: ClaimManager,
    private val budget: RetryBudget,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("gentiandale.route")

    /** Runs [call]. The coroutine must not be cancelled if [repeat] is [Repeat.AtMostOnce]. */
    suspend fun run(call: PlainCall, repeat: Repeat): PlainAnswer {
        budget.recordSubmission()
        return when (repeat) {
            Repeat.Idempotent -> answerOf(call, sendToServers(call, retryUnknown = true))
            Repeat.Once -> answerOf(call, sendToServers(call, retryUnknown = false))
            is Repeat.AtMostOnce -> runAtMostOnce(call, repeat.key)
        }
    }

    private suspend fun runAtMostOnce(call: PlainCall, key: IdempotencyKey): PlainAnswer =
        when (val claim = claims.claim(key, call.digest())) {
            is ClaimOutcome.Granted -> runClaimed(call, key, claim.token)
            is ClaimOutcome.ClaimedEarlier -> answerEarlier(claim)
            ClaimOutcome.KeyReused -> refused(
                RefusalReason.KEY_REUSED,
                CallOutcome.NOT_RUN,
                "The key was used before for another call.",
            )
            is ClaimOutcome.NotConfirmed -> refused(
                RefusalReason.NO_MAJORITY,
                CallOutcome.NOT_RUN,
                "The key could not be claimed: ${claim.reason}",
                RETRY_AFTER_MS,
            )
        }

    private suspend fun runClaimed(call: PlainCall, key: IdempotencyKey, token: HolderToken): PlainAnswer {
        val sent = try {
            sendToServers(call, retryUnknown = false)
        } catch (e: Throwable) {
            claims.settleLater(token, key, ClaimResult.Unknown)
            throw e
        }
        claims.settle(token, key, resultOf(sent))
        return answerOf(call, sent)
    }

    private fun resultOf(sent: SendOutcome): ClaimResult = when (sent) {
        is SendOutcome.NotSent -> ClaimResult.NotRun
        is SendOutcome.Unknown -> ClaimResult.Unknown
        is SendOutcome.Answered -> {
            val body = sent.response.contentUtf8()
            val isUtf8 = body.toByteArray().contentEquals(sent.response.content().array())
            when {
                !isUtf8 || sent.response.content().length() > ClaimLimits.MAX_ANSWER_BYTES -> ClaimResult.Unknown
                else -> ClaimResult.Answered(
                    sent.response.status().code(),
                    sent.response.contentType()?.toString() ?: MediaType.OCTET_STREAM.toString(),
                    body,
                )
            }
        }
    }

    /**
     * Sends [call] to at most [MAX_ATTEMPTS] servers in turn, within its deadline and the retry budget, until one
     * answers. An attempt with an unknown outcome is the last one unless [retryUnknown].
     */
    private suspend fun sendToServers(call: PlainCall, retryUnknown: Boolean): SendOutcome {
        var last: SendOutcome = SendOutcome.NotSent("No server of service ${call.service} is known.")
        var mayHaveRun = false
        chooser.serversOf(call.service).take(MAX_ATTEMPTS).forEachIndexed { i, server ->
            val remainingMs = call.deadlineMs - clock.monotonicMs()
            if (remainingMs <= 0 || (i > 0 && !budget.take())) return@forEachIndexed
            log.info(
                "Sending {} {} of service {} to {}, the next server by data centre and load.",
                call.method,
                call.path,
                call.service,
                server.server,
            )
            last = chooser.trackRunning(server.server) {
                sender.send(call, server.address, remainingMs) {
                    chooser.serversOf(call.service).none { it.server == server.server }
                }
            }
            when (last) {
                is SendOutcome.Answered -> return last
                is SendOutcome.Unknown -> if (retryUnknown) mayHaveRun = true else return last
                is SendOutcome.NotSent -> Unit
            }
        }
        val final = last
        return if (mayHaveRun && final is SendOutcome.NotSent) SendOutcome.Unknown(final.reason) else final
    }

    private fun answerOf(call: PlainCall, sent: SendOutcome): PlainAnswer = when (sent) {
        is SendOutcome.Answered -> PlainAnswer.Answered(sent.response)
        is SendOutcome.Unknown -> refused(
            RefusalReason.BACKEND_FAILED,
            CallOutcome.UNKNOWN,
            "The call failed: ${sent.reason}",
        )
        is SendOutcome.NotSent -> notSent(call, sent)
    }

    private fun notSent(call: PlainCall, sent: SendOutcome.NotSent): PlainAnswer {
        val reason = when {
            call.deadlineMs <= clock.monotonicMs() -> RefusalReason.DEADLINE
            chooser.serversOf(call.service).isEmpty() -> RefusalReason.UNKNOWN_SERVICE
            else -> RefusalReason.NO_SERVER
        }
        return refused(reason, CallOutcome.NOT_RUN, sent.reason, RETRY_AFTER_MS)
    }

    private fun answerEarlier(claim: ClaimOutcome.ClaimedEarlier): PlainAnswer = when (val result = claim.result) {
        is ClaimResult.Answered -> PlainAnswer.Answered(
            AggregatedHttpResponse.of(
                ResponseHeaders.builder(HttpStatus.valueOf(result.status))
                    .contentType(MediaType.parse(result.contentType))
                    .build(),
                HttpData.ofUtf8(result.body),
            ),
        )
        ClaimResult.Unknown, ClaimResult.NotRun ->
            refused(RefusalReason.BACKEND_FAILED, CallOutcome.UNKNOWN, "The call may have run; no answer is stored.")
        null -> unsettled(claim.holder)
    }

    private fun unsettled(holder: HolderToken?): PlainAnswer {
        val holderDead = holder != null && board[Board.VMS][holder.vm]?.state == VmState.DEAD
        if (holderDead) {
            val detail = "The call may have run: the VM that claimed its key is dead."
            return refused(RefusalReason.BACKEND_FAILED, CallOutcome.UNKNOWN, detail)
        }
        val detail = "A call with this key is running, or the VM that claimed the key has failed."
        return refused(RefusalReason.IN_PROGRESS, CallOutcome.UNKNOWN, detail, RETRY_AFTER_MS)
    }

    private fun refused(reason: RefusalReason, outcome: CallOutcome, detail: String, retryAfterMs: Long? = null) =
        PlainAnswer.Refused(Refusal(reason, outcome, detail, retryAfterMs))

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val RETRY_AFTER_MS = 1_000L
    }
}
