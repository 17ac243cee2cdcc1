package gentiandale.relay.life

import gentiandale.relay.backend.Backend
import gentiandale.relay.placement.GenerationNeed
import gentiandale.relay.upstream.GenerationSize

/**
 * Room that one generation holds at its decode server. It follows the answer as that grows.
 *
 * @param expected expected length of the answer in tokens.
 * @param tokensPerEvent tokens that one event of the answer carries.
 * @param onChanged called when room is taken or left, which the other VMs are told at once; growth they are told later.
 */
internal class HeldRoom(
    private val size: GenerationSize,
    private val expected: Int,
    private val tokensPerEvent: Int,
    private val onChanged: () -> Unit,
) {
    private var held = 0L

    /** Tokens of the answer that have been made. */
    var made = 0
        private set

    /** Server at which room is held, or null. */
    var place: Backend? = null
        private set

    /** What has to be free for the generation to begin. */
    val need = GenerationNeed(size.prompt, size.prompt + growth())

    /** Takes room at [server], and leaves the place before. */
    fun take(server: Backend) {
        leave()
        place = server
        hold(need.memoryTokens.toLong())
        onChanged()
    }

    /** Leaves the place, if there is one. */
    fun leave() {
        if (place == null) return
        hold(0)
        place = null
        onChanged()
    }

    /** Notes one more event of the answer. */
    fun onEvent() {
        made += tokensPerEvent
        hold(size.prompt.toLong() + made + growth())
    }

    private fun hold(tokens: Long) {
        place?.let { it.memoryTokens += tokens - held }
        held = tokens
    }

    /** Tokens by which the answer is expected to grow before other generations have ended. */
    private fun growth(): Int = (expected - made).coerceIn(MIN_GROWTH_TOKENS, GROWTH_TOKENS)

    private companion object {
        /** Growth for which room is kept: until then some of the requests beside it have ended. */
        const val GROWTH_TOKENS = 1_000
        const val MIN_GROWTH_TOKENS = 200
    }
}
