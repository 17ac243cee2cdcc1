package gentiandale.core.backend

import gentiandale.core.ServerKind
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Speed at which the engines of [service] read prompts in the stage [kind].
 *
 * @param tokensPerMs median of the last [samples] prompts, in tokens per millisecond.
 */
@Serializable
public data class ReadSpeed(
    @SerialName("s") val service: ServiceName,
    @SerialName("k") val kind: ServerKind,
    @SerialName("v") val tokensPerMs: Double,
    @SerialName("n") val samples: Int,
) {
    /** Functions on several speeds. */
    public companion object {
        /** Returns for each service and stage the median of [speeds], weighted by their samples. */
        public fun combine(speeds: Collection<ReadSpeed>): List<ReadSpeed> =
            speeds.filter { it.samples > 0 }.groupBy { it.service to it.kind }.values.map { same ->
                val total = same.sumOf { it.samples }
                var left = total / 2
                val median = same.sortedBy { it.tokensPerMs }.first { speed ->
                    left -= speed.samples
                    left < 0
                }
                median.copy(samples = total)
            }
    }
}
