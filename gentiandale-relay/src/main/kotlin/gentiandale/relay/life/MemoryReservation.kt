package gentiandale.relay.life

import gentiandale.relay.backend.Backend
import gentiandale.relay.backend.GenerationMemory

/**
 * Room that one generation holds at its decode server. It follows the answer as that grows.
 *
 * @param need memory that the generation needs.
 * @param tokensPerEvent tokens that one event of the answer carries.
 * @param onChanged called when room is taken or left, which the other VMs are told at once; growth they are told later.
 */
internal class MemoryReservation(
    val need: GenerationMemory,
    private val tokensPerEvent: Int,
    private val onChanged: () -> Unit,
) {
    /** Server at which room is held, or null. */
    var server: Backend? = null
        private set

    /** Takes room at [server], and leaves the place before. */
    fun reserve(backend: Backend) {
        release()
        server = backend
        backend.reserve(need)
        onChanged()
    }

    /** Leaves the place, if there is one. */
    fun release() {
        val previous = server ?: return
        previous.release(need)
        server = null
        onChanged()
    }

    /** Notes one more event of the answer. */
    fun onEvent() {
        need.generatedTokens += tokensPerEvent
    }
}
