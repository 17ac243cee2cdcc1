package gentiandale.relay.request

import gentiandale.relay.backend.Backend

/** Reserves prefill capacity for the prompt of [tokens] tokens of one generation until the prefill is sent. */
internal class PromptReservation(val tokens: Int) {
    private var server: Backend? = null

    /** Adds the prompt to the pending tokens of [backend], after releasing a previous reservation. */
    fun reserve(backend: Backend) {
        release()
        server = backend
        backend.promptTokens += tokens
    }

    /** Releases the reservation: the prompt is given up, or the call that reads it counts it from now on. */
    fun release() {
        server?.let { it.promptTokens -= tokens }
        server = null
    }
}
