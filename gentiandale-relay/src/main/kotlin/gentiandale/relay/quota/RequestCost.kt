package gentiandale.relay.quota

import gentiandale.relay.routing.CustomerRule
import gentiandale.relay.routing.QuotaUnit
import gentiandale.relay.upstream.TokenCounts

/** What a request costs under the quota of its customer. */
public sealed interface RequestCost {
    /** The request costs [amount] in the unit of the quota. */
    public data class Known(val amount: Long) : RequestCost

    /** The caller states token counts that make no sense. */
    public data class Invalid(val reason: String) : RequestCost

    /** Calculation of costs. */
    public companion object {
        /** Largest sum of token counts that a request may state. */
        public const val MAX_TOKENS: Long = 1L shl 31

        /** Returns the cost for [customer] of a request that states [counts]. */
        public fun of(customer: CustomerRule, counts: TokenCounts): RequestCost = when (customer.unit) {
            QuotaUnit.REQUESTS -> Known(1)
            QuotaUnit.TOKENS -> when (counts) {
                is TokenCounts.None -> Known(customer.plainTokens)
                is TokenCounts.Invalid -> Invalid(counts.reason)
                is TokenCounts.Stated -> ofTokens(counts.prompt, counts.answer)
            }
        }

        // Each count is compared before the sum, which could overflow.
        private fun ofTokens(prompt: Long, answer: Long): RequestCost = when {
            prompt < 0 || answer < 0 -> Invalid("negative token count")
            prompt > MAX_TOKENS || answer > MAX_TOKENS - prompt -> Invalid("token counts above $MAX_TOKENS in sum")
            else -> Known(prompt + answer)
        }
    }
}
