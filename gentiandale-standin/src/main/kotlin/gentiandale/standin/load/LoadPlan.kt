package gentiandale.standin.load

import gentiandale.core.Address
import gentiandale.core.RankId
import gentiandale.core.RequestId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * Request that a load run will send.
 *
 * @param atMs arrival time in milliseconds since the start of the run.
 * @param target entry VM to call, or null for a direct call to the engines.
 */
internal data class PlannedRequest(
    val request: RequestId,
    val atMs: Double,
    val rank: RankId,
    val target: Address?,
    val prompt: String,
    val maxTokens: Int,
)

/** Generates the requests of a load run. The plan is deterministic for given [options]. */
internal class LoadPlan(private val options: LoadOptions) {
    private val random = Random(options.seed)

    /** Returns all requests in order of arrival. */
    fun requests(): List<PlannedRequest> {
        val routed = arrivals(options.arrivalsPerSecond).mapIndexed { i, atMs ->
            plannedRequest("load-${options.seed}-$i", atMs, options.targets[i % options.targets.size])
        }
        val direct = options.direct?.let { arrivals(it.callsPerSecond) }.orEmpty().mapIndexed { i, atMs ->
            plannedRequest("direct-${options.seed}-$i", atMs, target = null)
        }
        return (routed + direct).sortedBy { it.atMs }.take(options.maxRequests)
    }

    private fun arrivals(perSecond: Double): List<Double> {
        var now = 0.0
        return generateSequence {
            now += -ln(1 - random.nextDouble()) * MS_PER_SECOND / perSecond
            now.takeIf { it < options.durationMs }
        }.take(options.maxRequests).toList()
    }

    private fun plannedRequest(request: String, atMs: Double, target: Address?) = PlannedRequest(
        request = RequestId(request),
        atMs = atMs,
        rank = rank(),
        target = target,
        prompt = prompt(request),
        maxTokens = random.nextInt(options.maxTokens.first, options.maxTokens.last + 1),
    )

    private fun rank(): RankId {
        var remaining = random.nextDouble() * options.ranks.sumOf { it.weight }
        return options.ranks.first { weight ->
            remaining -= weight.weight
            remaining < 0 || weight === options.ranks.last()
        }.rank
    }

    private fun prompt(request: String): String {
        val shortest = ln(options.promptTokens.first.toDouble())
        val longest = ln(options.promptTokens.last.toDouble())
        val tokens = exp(shortest + random.nextDouble() * (longest - shortest)).toInt()
        return "$request ".padEnd(tokens * CHARS_PER_TOKEN, 'x')
    }

    private companion object {
        const val MS_PER_SECOND = 1_000
        const val CHARS_PER_TOKEN = 4
    }
}
