package gentiandale.core.backend

import kotlinx.serialization.Serializable

/**
 * What several requests may have in common and what may crash servers: a part of a prompt, such as a common preamble,
 * or the whole request, which comes again word for word.
 */
@Serializable
@JvmInline
public value class RequestTrait(public val value: String) {
    override fun toString(): String = value

    /** Factory for traits that are not parts of a prompt. */
    public companion object {
        /** Contains a character that separates ids of parts from each other, so that no id begins like this. */
        private const val REQUEST_PREFIX = "request:"

        /** Returns the trait of the requests with [fingerprint], a digest of all that they hold. */
        public fun ofRequest(fingerprint: String): RequestTrait = RequestTrait(REQUEST_PREFIX + fingerprint)
    }
}
