package gentiandale.relay.forward

import io.netty.handler.codec.http.HttpHeaders

/**
 * What an entry VM states when it refuses a forwarded request as not executed.
 *
 * @param isUnsent whether it has sent the request to no server.
 * @param isUnreached whether it reaches no server of the service.
 */
internal data class ForwardedRefusal(val isUnsent: Boolean, val isUnreached: Boolean) {
    /** Writes this into [headers]. */
    fun writeTo(headers: HttpHeaders) {
        val words = listOfNotNull(UNSENT.takeIf { isUnsent }, UNREACHED.takeIf { isUnreached })
        if (words.isNotEmpty()) headers.set(HEADER, words.joinToString(SEPARATOR))
    }

    companion object {
        private const val HEADER = "Gentiandale-Refusal"
        private const val UNSENT = "unsent"
        private const val UNREACHED = "unreached"
        private const val SEPARATOR = ","

        /** Returns what [headers] of a refusal state; one of an earlier build states nothing. */
        fun read(headers: HttpHeaders): ForwardedRefusal {
            val words = headers.get(HEADER)?.split(SEPARATOR).orEmpty()
            return ForwardedRefusal(UNSENT in words, UNREACHED in words)
        }
    }
}
