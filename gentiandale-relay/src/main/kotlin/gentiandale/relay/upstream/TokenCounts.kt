package gentiandale.relay.upstream

import io.netty.handler.codec.http.HttpHeaders

/** Token counts of a request as its caller states them. */
public sealed interface TokenCounts {
    /** Tokens of the prompt and the limit of the answer. */
    public data class Stated(val prompt: Long, val answer: Long) : TokenCounts

    /** The caller states none. */
    public data object None : TokenCounts

    /** The statement can't be read. */
    public data class Invalid(val reason: String) : TokenCounts

    /** Reading of token counts. */
    public companion object {
        private const val COUNTS = 2
        private val INTEGER = Regex("[+-]?[0-9]{1,18}")

        /** Reads [values] of headers that each contain two integers, separated by a comma. */
        public fun read(values: List<String>): TokenCounts {
            val stated = values.map(::readOne).distinct()
            return when (stated.size) {
                0 -> None
                1 -> stated.single()
                else -> Invalid("token counts stated twice with different values")
            }
        }

        private fun readOne(value: String): TokenCounts {
            val texts = value.split(',').map { it.trim() }
            val counts = texts.mapNotNull { text -> text.takeIf(INTEGER::matches)?.toLong() }
            return when {
                texts.size != COUNTS -> Invalid("not exactly two token counts")
                counts.size != COUNTS -> Invalid("token count that is not an integer in range")
                else -> Stated(counts.first(), counts.last())
            }
        }
    }
}

/** Headers from which the cost of a request follows. */
public interface CostDialect {
    /** Returns the token counts that the caller states, strictly read. */
    public fun tokenCounts(headers: HttpHeaders): TokenCounts
}
