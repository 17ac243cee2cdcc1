package gentiandale.core.backend

import gentiandale.core.ServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Load that one or several entry VMs have placed on an engine.
 *
 * @param running requests that have not ended.
 * @param promptTokens prompt tokens that it has not read yet.
 * @param memoryTokens tokens that these requests are expected to hold in its memory.
 */
@Serializable
public data class ServerLoad(
    @SerialName("i") val id: ServerId,
    @SerialName("r") val running: Int = 0,
    @SerialName("p") val promptTokens: Long = 0,
    @SerialName("m") val memoryTokens: Long = 0,
) {
    /** Returns the sum of both loads of the same server. */
    public operator fun plus(other: ServerLoad): ServerLoad = copy(
        running = running + other.running,
        promptTokens = promptTokens + other.promptTokens,
        memoryTokens = memoryTokens + other.memoryTokens,
    )

    /** Returns this load without [part]. */
    public operator fun minus(part: ServerLoad): ServerLoad = copy(
        running = running - part.running,
        promptTokens = promptTokens - part.promptTokens,
        memoryTokens = memoryTokens - part.memoryTokens,
    )
}
