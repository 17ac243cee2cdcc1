package gentiandale.relay.routing

import gentiandale.core.backend.ServiceName

/**
 * Facts of a model engine that all servers of a service share.
 *
 * @param places requests in one batch.
 * @param memoryTokens tokens of prompts and answers that its memory holds.
 * @param tokenBytes size of the KV cache of one token.
 * @param handleLifetimeMs time in milliseconds for which the result of a prefill is kept.
 * @param tokensPerEvent tokens of the answer that one event of a stream carries.
 * @param switchMs time in milliseconds for which a change of the stage takes the engine out of service.
 */
public data class EngineRule(
    val places: Int,
    val memoryTokens: Int,
    val tokenBytes: Long,
    val handleLifetimeMs: Long,
    val tokensPerEvent: Int = 1,
    val switchMs: Long = 0,
) {
    /** Returns this engine with the part of its memory that work may take which is late anyway. */
    public fun forLateWork(): EngineRule = copy(memoryTokens = (memoryTokens * LATE_WORK_SHARE).toInt())

    private companion object {
        /** The rest is kept for work that can still be in time. */
        const val LATE_WORK_SHARE = 0.7
    }
}

/**
 * A service that routes lead to.
 *
 * @param maxConnections connections that one of its servers accepts from all VMs together.
 * @param engine facts of its engines; null for a plain service.
 */
public data class ServiceRule(val name: ServiceName, val maxConnections: Int, val engine: EngineRule?)
