package gentiandale.relay.life

import gentiandale.relay.backend.Backend

/** Prompt of [tokens] tokens that one generation is about to have read by a server. */
internal class PromptReservation(val tokens: Int) {
    private var server: Backend? = null

    /** Counts the prompt at [server]. */
    fun reserve(backend: Backend) {
        release()
        server = backend
        backend.promptTokens += tokens
    }

    /** Counts the prompt no longer: it is read, or its call counts it. */
    fun release() {
        server?.let { it.promptTokens -= tokens }
        server = null
    }
}
