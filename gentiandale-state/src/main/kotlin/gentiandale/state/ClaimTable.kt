package gentiandale.state

import gentiandale.core.IdempotencyKey
import gentiandale.core.VmId
import gentiandale.core.findings
import kotlinx.serialization.Serializable

/** Claim of a key by [holder], with the [result] of the call once it is known. */
@Serializable
public data class Claim(
    val bodyDigest: String,
    val holder: VmId,
    val atMs: Long,
    val result: ClaimResult? = null,
)

/** Limits for the claims of at-most-once calls. */
public object ClaimLimits {
    /** Time in milliseconds for which a claim is kept. */
    public const val CLAIM_LIFETIME_MS: Long = 24 * 60 * 60 * 1_000L

    /** Maximum number of claims. Further claims are rejected until old ones expire. */
    public const val MAX_CLAIMS: Int = 20_000

    /** Maximum body size of a stored answer in bytes. A larger one is stored as [ClaimResult.Unknown]. */
    public const val MAX_ANSWER_BYTES: Int = 16_384

    /** Maximum total body size of all stored answers in bytes. Beyond it the oldest become [ClaimResult.Unknown]. */
    public const val MAX_TOTAL_ANSWER_BYTES: Int = 4 * 1_024 * 1_024
}

/** Claims of keys by at-most-once calls, in the order in which they were made. */
internal class ClaimTable {
    private val claims = LinkedHashMap<IdempotencyKey, Claim>()
    private val answeredKeys = LinkedHashSet<IdempotencyKey>()
    private var answerBytes = 0L

    fun claim(command: StoreCommand.ClaimKey, nowMs: Long): StoreReply {
        val current = claims[command.key]
        return when {
            current == null && claims.size >= ClaimLimits.MAX_CLAIMS -> tooManyClaims()
            current == null -> {
                claims[command.key] = Claim(command.bodyDigest, command.holder, nowMs)
                StoreReply.Claimed
            }
            current.bodyDigest != command.bodyDigest -> StoreReply.KeyReused
            else -> StoreReply.AlreadyClaimed(current.holder, current.result)
        }
    }

    /** Settles a claim. Ignores a settlement by another holder and does not overwrite an answer. */
    fun settle(command: StoreCommand.SettleKey): StoreReply {
        val current = claims[command.key] ?: return StoreReply.Settled
        if (current.holder != command.holder || current.result is ClaimResult.Answered) return StoreReply.Settled
        when (val result = command.result) {
            ClaimResult.NotRun -> claims.remove(command.key)
            ClaimResult.Unknown -> claims[command.key] = current.copy(result = result)
            is ClaimResult.Answered -> storeAnswer(command.key, current, result)
        }
        return StoreReply.Settled
    }

    fun expire(nowMs: Long) {
        val all = claims.iterator()
        while (all.hasNext()) {
            val (key, claim) = all.next()
            if (claim.atMs + ClaimLimits.CLAIM_LIFETIME_MS > nowMs) return
            uncountAnswer(key, claim)
            all.remove()
        }
    }

    fun save(): Map<IdempotencyKey, Claim> = LinkedHashMap(claims)

    /** Loads [saved]. Answers are then evicted in the order of the claims, which is the same on every voter. */
    fun load(saved: Map<IdempotencyKey, Claim>) {
        claims.clear()
        answeredKeys.clear()
        answerBytes = 0
        claims.putAll(saved)
        saved.forEach { (key, claim) -> countAnswer(key, claim.result) }
    }

    private fun storeAnswer(key: IdempotencyKey, claim: Claim, answer: ClaimResult.Answered) {
        val kept = if (answer.bodyBytes > ClaimLimits.MAX_ANSWER_BYTES) ClaimResult.Unknown else answer
        claims[key] = claim.copy(result = kept)
        countAnswer(key, kept)
        while (answerBytes > ClaimLimits.MAX_TOTAL_ANSWER_BYTES) dropOldestAnswer()
    }

    private fun countAnswer(key: IdempotencyKey, result: ClaimResult?) {
        if (result !is ClaimResult.Answered) return
        answeredKeys += key
        answerBytes += result.bodyBytes
    }

    private fun dropOldestAnswer() {
        val key = claims.keys.first { it in answeredKeys }
        val claim = claims.getValue(key)
        uncountAnswer(key, claim)
        claims[key] = claim.copy(result = ClaimResult.Unknown)
    }

    private fun uncountAnswer(key: IdempotencyKey, claim: Claim) {
        val answer = claim.result as? ClaimResult.Answered ?: return
        answeredKeys -= key
        answerBytes -= answer.bodyBytes
    }

    private fun tooManyClaims(): StoreReply = StoreReply.Refused(
        findings("claim") { report("key", "The limit of ${ClaimLimits.MAX_CLAIMS} claims is reached.") },
    )
}

private val ClaimResult.Answered.bodyBytes: Int get() = body.encodeToByteArray().size
