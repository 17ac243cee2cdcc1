package gentiandale.relay.forward

import io.netty.handler.codec.http.HttpHeaders

/**
 * What an entry VM states when it refuses a forwarded request as not executed.
 *
 * @param isUnsent whether it has sent the request to no server.
 */
internal data class ForwardedRefusal(val isUnsent: Boolean) {
    /** Writes this into [headers]. */
    fun writeTo(headers: HttpHeaders) {
        if (isUnsent) headers.set(HEADER, UNSENT)
    }

    companion object {
        private const val HEADER = "Gentiandale-Refusal"
        private const val UNSENT = "unsent"
        private const val SEPARATOR = ","

        /** Returns what [headers] of a refusal state; one of an earlier build states nothing. */
        fun read(headers: HttpHeaders): ForwardedRefusal =
            ForwardedRefusal(UNSENT in headers.get(HEADER)?.split(SEPARATOR).orEmpty())
    }
}
