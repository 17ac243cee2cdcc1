package gentiandale.relay.request

import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory

/**
 * Memory that one generation reserves at its decode server. The reservation grows with the answer.
 *
 * @param need memory that the generation needs.
 * @param tokensPerEvent tokens carried by one event of the answer.
 * @param onChanged called when memory is reserved or released, which is reported to the other VMs at once; growth is
 *   reported later.
 */
internal class MemoryReservation(
    val need: GenerationMemory,
    private val tokensPerEvent: Int,
    private val onChanged: () -> Unit,
) {
    /** Server at which memory is reserved, or null. */
    var server: Backend? = null
        private set

    /** Reserves memory at [backend], after releasing a previous reservation. */
    fun reserve(backend: Backend) {
        release()
        server = backend
        backend.reserve(need)
        onChanged()
    }

    /** Releases the reservation, if there is one. */
    fun release() {
        val previous = server ?: return
        previous.release(need)
        server = null
        onChanged()
    }

    /** Grows the reservation by one event of the answer. */
    fun onEvent() {
        need.generatedTokens += tokensPerEvent
    }
}
