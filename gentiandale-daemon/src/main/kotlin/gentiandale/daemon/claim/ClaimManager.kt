package gentiandale.daemon.claim

import gentiandale.core.Clock
import gentiandale.core.IdempotencyKey
import gentiandale.core.Incarnation
import gentiandale.core.VmId
import gentiandale.state.ClaimResult
import gentiandale.state.ReplicatedStore
import gentiandale.state.StoreCommand
import gentiandale.state.StoreReply
import gentiandale.state.SubmitOutcome
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Outcome of [ClaimManager.claim]. */
internal sealed interface ClaimOutcome {
    /** The key is claimed for the call with [token], which is the only one that may be sent. */
    data class Granted(val token: HolderToken) : ClaimOutcome

    /** The key was claimed earlier by [holder]. [result] is null until that claim is settled. */
    data class ClaimedEarlier(val holder: HolderToken?, val result: ClaimResult?) : ClaimOutcome

    /** The key was claimed earlier for a call with another digest. */
    data object KeyReused : ClaimOutcome

    /** The claim was not confirmed by the store, so the call must not be sent. */
    data class NotConfirmed(val reason: String) : ClaimOutcome
}

/** Claims and settles the keys of at-most-once calls. Settlements are retried in the background until they succeed. */
internal class ClaimManager(
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val store: ReplicatedStore,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val log = LoggerFactory.getLogger("gentiandale.claim")
    private val calls = AtomicLong()
    private val openTokens = ConcurrentHashMap.newKeySet<HolderToken>()
    private val pendingSettlements = AtomicInteger()

    /** Number of claims that this VM has not settled yet. */
    val size: Int get() = openTokens.size + pendingSettlements.get()

    /** Returns whether [token] belongs to a call that this VM is running. */
    fun isOpen(token: HolderToken): Boolean = token in openTokens

    /** Claims [key] for a call with [digest]. After [ClaimOutcome.Granted], the claim must be settled. */
    suspend fun claim(key: IdempotencyKey, digest: String): ClaimOutcome {
        val token = HolderToken(vm, incarnation, calls.incrementAndGet())
        val command = StoreCommand.ClaimKey(key, digest, token.toHolder(), clock.wallMs())
        openTokens += token
        var submitted: SubmitOutcome = SubmitOutcome.NotKnown("The claim was interrupted.")
        try {
            submitted = store.submit(command, CLAIM_TIMEOUT_MS)
        } finally {
            if (submitted is SubmitOutcome.NotKnown) withdraw(token, key)
        }
        val outcome = outcomeOf(token, submitted)
        if (outcome !is ClaimOutcome.Granted) openTokens -= token
        return outcome
    }

    /**
     * Releases [key] in case the claim of [token] is committed in spite of its unknown outcome. It does so twice,
     * because the claim can be committed after the first release.
     */
    private fun withdraw(token: HolderToken, key: IdempotencyKey) {
        settleLater(token, key, ClaimResult.NotRun)
        scope.launch {
            delay(SECOND_WITHDRAWAL_DELAY_MS)
            settleWithRetries(token, key, ClaimResult.NotRun)
        }
    }

    /**
     * Settles the claim of [token] with [result] and waits at most [SETTLE_WAIT_MS] for it. After that, the settlement
     * continues in the background.
     */
    suspend fun settle(token: HolderToken, key: IdempotencyKey, result: ClaimResult) {
        val job = settleLater(token, key, result)
        withTimeoutOrNull(SETTLE_WAIT_MS) { job.join() }
    }

    /** Settles the claim of [token] with [result] in the background. */
    fun settleLater(token: HolderToken, key: IdempotencyKey, result: ClaimResult): Job {
        pendingSettlements.incrementAndGet()
        openTokens -= token
        return scope.launch { settleWithRetries(token, key, result) }
            .apply { invokeOnCompletion { pendingSettlements.decrementAndGet() } }
    }

    private fun outcomeOf(token: HolderToken, submitted: SubmitOutcome): ClaimOutcome = when (submitted) {
        is SubmitOutcome.NotAccepted -> ClaimOutcome.NotConfirmed(submitted.reason)
        is SubmitOutcome.NotKnown -> ClaimOutcome.NotConfirmed(submitted.reason)
        is SubmitOutcome.Done -> when (val reply = submitted.reply) {
            is StoreReply.Claimed -> ClaimOutcome.Granted(token)
            is StoreReply.KeyReused -> ClaimOutcome.KeyReused
            is StoreReply.AlreadyClaimed -> when {
                reply.holder == token.toHolder() && reply.result == null -> ClaimOutcome.Granted(token)
                else -> ClaimOutcome.ClaimedEarlier(HolderToken.parse(reply.holder), reply.result)
            }
            else -> ClaimOutcome.NotConfirmed("The store answered the claim with $reply.")
        }
    }

    private suspend fun settleWithRetries(token: HolderToken, key: IdempotencyKey, result: ClaimResult) {
        var backoffMs = INITIAL_BACKOFF_MS
        while (true) {
            val command = StoreCommand.SettleKey(key, token.toHolder(), result, clock.wallMs())
            if (store.submit(command, CLAIM_TIMEOUT_MS) is SubmitOutcome.Done) return
            log.info("The store did not confirm the settlement of claim {}; it is retried.", key)
            delay(backoffMs)
            backoffMs = (backoffMs * 2).coerceAtMost(MAX_BACKOFF_MS)
        }
    }

    private companion object {
        const val SECOND_WITHDRAWAL_DELAY_MS = 10_000L
        const val CLAIM_TIMEOUT_MS = 2_000L
        const val SETTLE_WAIT_MS = 500L
        const val INITIAL_BACKOFF_MS = 100L
        const val MAX_BACKOFF_MS = 5_000L
    }
}
