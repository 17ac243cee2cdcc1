package gentiandale.relay.routing

import gentiandale.core.customer.KeyDigest

/** Reason for which a request is refused on account of its key, and its [label] in logs and metrics. */
public enum class KeyRefusal(public val label: String) {
    /** The request has no key. */
    MISSING("missing"),

    /** The key has no characters. */
    EMPTY("empty"),

    /** The key is longer than any that is issued. */
    TOO_LONG("too_long"),

    /** There are several headers with a key, even if they are equal. */
    SEVERAL("several"),

    /** No customer has the key. */
    UNKNOWN("unknown"),

    /** The customer no longer has the key with which the request was accepted. */
    REVOKED("revoked"),
}

/** Key of a customer as stated by a request. */
internal sealed interface StatedKey {
    /** The key with [digest], which may belong to a customer. */
    data class Usable(val digest: KeyDigest) : StatedKey

    /** No key that could belong to a customer. */
    data class Unusable(val reason: KeyRefusal) : StatedKey

    companion object {
        /** Bounds the work of computing a digest; issued keys are shorter. */
        private const val MAX_LENGTH = 512

        /** Returns the key stated by the [values] of the headers that contain one. */
        fun of(values: List<String>): StatedKey {
            val key = values.firstOrNull()
            return when {
                key == null -> Unusable(KeyRefusal.MISSING)
                values.size > 1 -> Unusable(KeyRefusal.SEVERAL)
                key.isEmpty() -> Unusable(KeyRefusal.EMPTY)
                key.length > MAX_LENGTH -> Unusable(KeyRefusal.TOO_LONG)
                else -> Usable(KeyDigest.ofKey(key))
            }
        }
    }
}
