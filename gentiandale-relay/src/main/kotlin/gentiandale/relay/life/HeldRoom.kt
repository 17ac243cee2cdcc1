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
internal class HeldRoom(
    val need: GenerationMemory,
    private val tokensPerEvent: Int,
    private val onChanged: () -> Unit,
) {
    /** Server at which room is held, or null. */
    var place: Backend? = null
        private set

    /** Takes room at [server], and leaves the place before. */
    fun take(server: Backend) {
        leave()
        place = server
        server.hold(need)
        onChanged()
    }

    /** Leaves the place, if there is one. */
    fun leave() {
        val left = place ?: return
        left.free(need)
        place = null
        onChanged()
    }

    /** Notes one more event of the answer. */
    fun onEvent() {
        need.made += tokensPerEvent
    }
}
