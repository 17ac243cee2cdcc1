package gentiandale.relay.routing

import gentiandale.core.backend.ServiceName

/**
 * Properties of a model engine that are the same for all servers of a service.
 *
 * @param places maximum number of requests in a batch.
 * @param memoryTokens capacity of the KV cache in tokens of prompts and answers.
 * @param tokenBytes size of the KV cache of one token in bytes.
 * @param handleLifetimeMs time in milliseconds for which the KV cache of a prefill is kept.
 * @param tokensPerEvent answer tokens carried by one event of a stream.
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
    /** Returns a copy with the part of the memory that work past its target may use. */
    public fun forLateWork(): EngineRule = copy(memoryTokens = (memoryTokens * LATE_WORK_SHARE).toInt())

    private companion object {
        /** The rest is kept for work that can still meet its target. */
        const val LATE_WORK_SHARE = 0.7
    }
}

/**
 * A service to which routes send requests.
 *
 * @param maxConnections connections that each of its servers accepts from all VMs together.
 * @param engine properties of its engines, or null for a plain service.
 */
public data class ServiceRule(val name: ServiceName, val maxConnections: Int, val engine: EngineRule?)
