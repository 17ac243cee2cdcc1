package gentiandale.fleet

import gentiandale.core.backend.ServiceName

/**
 * Capacity of each decode server of a service with engines.
 *
 * @param places requests that it runs at once.
 * @param memoryTokens capacity of its memory in tokens.
 */
public data class EngineCapacity(val places: Int, val memoryTokens: Int)

/**
 * What the configuration in force says about the capacity of services.
 *
 * @param engines services with engines; all others are plain.
 * @param hasCustomers whether the configuration has customers.
 * @param isEnabled whether the settings ask for queues.
 */
public data class CapacityRules(
    val engines: Map<ServiceName, EngineCapacity> = emptyMap(),
    val hasCustomers: Boolean = false,
    val isEnabled: Boolean = true,
)

/**
 * Requests of one service that wait for capacity, with what was decided since the start of the process.
 *
 * @param waitMs sum of the times in milliseconds from the arrival of a request to its grant.
 */
public data class CapacityStatus(
    val service: ServiceName,
    val waiting: Int,
    val granted: Long,
    val refused: Long,
    val waitMs: Long,
)
