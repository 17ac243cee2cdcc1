package gentiandale.relay.life

import gentiandale.relay.backend.Backend

/** Prompt of [tokens] tokens that one generation is about to have read by a server. */
internal class HeldReading(val tokens: Int) {
    private var place: Backend? = null

    /** Counts the prompt at [server]. */
    fun take(server: Backend) {
        leave()
        place = server
        server.promptTokens += tokens
    }

    /** Counts the prompt no longer: it is read, or its call counts it. */
    fun leave() {
        place?.let { it.promptTokens -= tokens }
        place = null
    }
}
